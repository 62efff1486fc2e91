package cresschute.node;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.WorkerState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * One answer of discovery: the full list, or changes to it. Immutable.
 *
 * @param version the version of the list after this answer, or -1 if unknown
 * @param full true for the full list, false for changes
 * @param entries the listed workers
 */
public record EndpointList(long version, boolean full, List<Endpoint> entries) {

    /**
     * One worker as listed.
     *
     * @param id its name
     * @param addr where it listens
     * @param zone the name of its zone
     * @param kind the name of its kind of machine
     * @param cell the number of its cell
     * @param state whether it is ready, draining or gone
     * @param weight its weight relative to other workers
     * @param startedMs when its process started, milliseconds of Unix time; 0 if it started long
     *     ago
     */
    public record Endpoint(
            String id,
            InetSocketAddress addr,
            String zone,
            String kind,
            int cell,
            WorkerState state,
            double weight,
            long startedMs) {}

    /**
     * Parses an answer.
     *
     * @param json the answer
     * @return the list or the changes
     * @throws JsonParseException if any part of it is missing or malformed
     */
    public static EndpointList parse(JsonObject json) {
        final List<Endpoint> entries = new ArrayList<>();
        for (final JsonElement element : Json.array(json, "servers")) {
            if (!element.isJsonObject()) {
                throw new JsonParseException("an entry of servers is not an object");
            }
            entries.add(entry(element.getAsJsonObject()));
        }
        final JsonElement full = json.get("full");
        if (full == null || !full.isJsonPrimitive() || !full.getAsJsonPrimitive().isBoolean()) {
            throw new JsonParseException("full is missing or not a boolean");
        }
        final double version = Json.number(json, "version", -1);
        if (version < 0) {
            throw new JsonParseException("version is missing or negative");
        }
        return new EndpointList((long) version, full.getAsBoolean(), List.copyOf(entries));
    }

    private static Endpoint entry(JsonObject json) {
        final String addr = Json.string(json, "addr");
        final InetSocketAddress parsed;
        try {
            parsed = Addresses.parse(addr);
        } catch (IllegalArgumentException e) {
            throw new JsonParseException(e.getMessage());
        }
        final String word = Json.string(json, "state");
        final WorkerState state =
                switch (word) {
                    case "SERVING" -> WorkerState.READY;
                    case "DRAINING" -> WorkerState.DRAINING;
                    case "DELETED" -> WorkerState.GONE;
                    default -> throw new JsonParseException("unknown state " + word);
                };
        return new Endpoint(
                Json.string(json, "id"),
                parsed,
                Json.string(json, "zone"),
                Json.string(json, "kind"),
                (int) Json.number(json, "cell", 0),
                state,
                Json.number(json, "weight", 1),
                (long) Json.number(json, "started_ms", 0));
    }
}
