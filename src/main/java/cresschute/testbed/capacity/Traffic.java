package cresschute.testbed.capacity;

import com.google.gson.JsonObject;

/** Number of messages and bytes by kind since the start. Not thread-safe. */
final class Traffic {

    /**
     * Estimated size of the segments that open and close a TCP connection, with headers, in bytes.
     */
    static final long HANDSHAKE_BYTES = 200;

    private final long[] messages = new long[TrafficKind.values().length];
    private final long[] bytes = new long[TrafficKind.values().length];

    void add(TrafficKind kind, long size) {
        messages[kind.ordinal()]++;
        bytes[kind.ordinal()] += size;
    }

    /** Adds bytes to a message that is already counted. */
    void addBytes(TrafficKind kind, long size) {
        bytes[kind.ordinal()] += size;
    }

    void addHandshake() {
        add(TrafficKind.HANDSHAKE, HANDSHAKE_BYTES);
    }

    long messages(TrafficKind kind) {
        return messages[kind.ordinal()];
    }

    long bytes(TrafficKind kind) {
        return bytes[kind.ordinal()];
    }

    long controlBytes() {
        long sum = 0;
        for (final TrafficKind kind : TrafficKind.values()) {
            sum += kind.isControl() ? bytes(kind) : 0;
        }
        return sum;
    }

    /** The difference to an earlier reading of the same counters. */
    Traffic since(Traffic before) {
        final Traffic difference = new Traffic();
        for (final TrafficKind kind : TrafficKind.values()) {
            difference.messages[kind.ordinal()] = messages(kind) - before.messages(kind);
            difference.bytes[kind.ordinal()] = bytes(kind) - before.bytes(kind);
        }
        return difference;
    }

    /** The sum with a reading of other counters. */
    Traffic plus(Traffic other) {
        final Traffic sum = new Traffic();
        for (final TrafficKind kind : TrafficKind.values()) {
            sum.messages[kind.ordinal()] = messages(kind) + other.messages(kind);
            sum.bytes[kind.ordinal()] = bytes(kind) + other.bytes(kind);
        }
        return sum;
    }

    JsonObject json() {
        final JsonObject json = new JsonObject();
        for (final TrafficKind kind : TrafficKind.values()) {
            final JsonObject counted = new JsonObject();
            counted.addProperty("messages", messages(kind));
            counted.addProperty("bytes", bytes(kind));
            json.add(kind.label(), counted);
        }
        return json;
    }

    static Traffic of(JsonObject json) {
        final Traffic traffic = new Traffic();
        for (final TrafficKind kind : TrafficKind.values()) {
            final JsonObject counted = json.getAsJsonObject(kind.label());
            traffic.messages[kind.ordinal()] = counted.get("messages").getAsLong();
            traffic.bytes[kind.ordinal()] = counted.get("bytes").getAsLong();
        }
        return traffic;
    }
}
