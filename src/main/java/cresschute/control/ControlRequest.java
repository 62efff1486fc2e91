package cresschute.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import cresschute.control.DrainRegistry.Operation;
import java.util.Set;

/**
 * One line that a console writes, as {@code docs/console.md} describes it. Pure.
 *
 * @param id the console's own mark, which the answer carries
 * @param from subscribe: the number that the console holds up to, or 0
 * @param boot subscribe: the run of the node that the number is of
 * @param after events: the number of the last one that was read
 * @param operation drain and undrain alone
 */
public record ControlRequest(
        String id, What what, long from, String boot, long after, Operation operation) {

    /** The version of the protocol that this node speaks. */
    public static final int VERSION = 1;

    /** Characters of a line from a console, its end aside. */
    public static final int MAX_LINE = 16 * 1024;

    private static final int MAX_TEXT = 200;
    private static final Set<String> KNOWN =
            Set.of(
                    "v", "id", "do", "from", "boot", "after", "op", "worker", "for_ms", "who",
                    "reason", "force");
    private static final long US_A_MS = 1_000;

    /** A hundred years: whoever drains for longer means for good. */
    private static final long MAX_FOR_MS = 100L * 366 * 24 * 3_600_000;

    /** What may be asked for. */
    public enum What {
        WORKERS("workers"),
        SUBSCRIBE("subscribe"),
        EVENTS("events"),
        DRAIN("drain"),
        UNDRAIN("undrain");

        private final String wireName;

        What(String wireName) {
            this.wireName = wireName;
        }

        /** The word of a request and of the log. */
        public String wireName() {
            return wireName;
        }
    }

    /** A line that asks for nothing that there is; its message is for whoever wrote it. */
    public static final class InvalidRequestException extends Exception {

        private static final long serialVersionUID = 1L;
        private final String id;

        InvalidRequestException(String id, String message) {
            super(message, null, false, false);
            this.id = id;
        }

        /** The request's mark, or null where it could not be read. */
        public String id() {
            return id;
        }
    }

    /** Reads a line. */
    public static ControlRequest parse(String line) throws InvalidRequestException {
        final JsonObject json;
        try {
            final JsonElement element = JsonParser.parseString(line);
            if (!element.isJsonObject()) {
                throw new InvalidRequestException(null, "a request is one JSON object a line");
            }
            json = element.getAsJsonObject();
        } catch (JsonParseException | StackOverflowError e) {
            throw new InvalidRequestException(
                    null, "a request is one JSON object a line; this is no JSON");
        }
        final String id = text(json, "id", null, null);
        if (id == null) {
            throw new InvalidRequestException(null, "id is missing: the answer would carry it");
        }
        final long version = number(json, id, "v", -1);
        if (version != VERSION) {
            throw new InvalidRequestException(
                    id,
                    version == -1
                            ? "v is missing; this node speaks version " + VERSION
                            : "version "
                                    + version
                                    + " is not spoken here; this node speaks version "
                                    + VERSION);
        }
        for (final String field : json.keySet()) {
            if (!KNOWN.contains(field)) {
                throw new InvalidRequestException(id, "there is no field '" + field + "'");
            }
        }
        final String word = text(json, "do", id, "");
        final What what =
                switch (word) {
                    case "workers" -> What.WORKERS;
                    case "subscribe" -> What.SUBSCRIBE;
                    case "events" -> What.EVENTS;
                    case "drain" -> What.DRAIN;
                    case "undrain" -> What.UNDRAIN;
                    default ->
                            throw new InvalidRequestException(
                                    id,
                                    "do is '"
                                            + word
                                            + "'; there are workers, subscribe, events, drain,"
                                            + " undrain");
                };
        final boolean drains = what == What.DRAIN || what == What.UNDRAIN;
        return new ControlRequest(
                id,
                what,
                number(json, id, "from", 0),
                text(json, "boot", id, ""),
                number(json, id, "after", 0),
                drains ? operation(json, id, what) : null);
    }

    private static Operation operation(JsonObject json, String id, What what)
            throws InvalidRequestException {
        final String op = text(json, "op", id, "");
        final String worker = text(json, "worker", id, "");
        if (op.isEmpty() || worker.isEmpty()) {
            throw new InvalidRequestException(id, (op.isEmpty() ? "op" : "worker") + " is missing");
        }
        final long forMs = number(json, id, "for_ms", Long.MAX_VALUE);
        if (forMs != Long.MAX_VALUE && (forMs < 1 || forMs > MAX_FOR_MS)) {
            throw new InvalidRequestException(
                    id, "for_ms is " + forMs + "; allowed: 1 to " + MAX_FOR_MS);
        }
        final JsonElement force = json.get("force");
        if (force != null && !(force instanceof JsonPrimitive truth && truth.isBoolean())) {
            throw new InvalidRequestException(id, "force is neither true nor false");
        }
        return new Operation(
                op,
                what == What.DRAIN,
                worker,
                forMs == Long.MAX_VALUE ? DrainRegistry.FOREVER : forMs * US_A_MS,
                text(json, "who", id, "somebody"),
                text(json, "reason", id, ""),
                force != null && force.getAsBoolean());
    }

    private static String text(JsonObject json, String field, String id, String otherwise)
            throws InvalidRequestException {
        final JsonElement value = json.get(field);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof JsonPrimitive primitive && primitive.isString())) {
            throw new InvalidRequestException(id, field + " is no text");
        }
        final String text = value.getAsString();
        if (text.length() > MAX_TEXT || text.chars().anyMatch(Character::isISOControl)) {
            // Guards the log and the screens of others: a reason must not move their cursor.
            throw new InvalidRequestException(
                    id, field + " has control characters, or more than " + MAX_TEXT);
        }
        return text;
    }

    private static long number(JsonObject json, String id, String field, long otherwise)
            throws InvalidRequestException {
        final JsonElement value = json.get(field);
        if (value == null) {
            return otherwise;
        }
        try {
            if (value instanceof JsonPrimitive primitive && primitive.isNumber()) {
                return value.getAsBigDecimal().longValueExact();
            }
        } catch (ArithmeticException | NumberFormatException e) {
            throw new InvalidRequestException(id, field + " is no whole number that fits");
        }
        throw new InvalidRequestException(id, field + " is no whole number");
    }
}
