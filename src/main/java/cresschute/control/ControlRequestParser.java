package cresschute.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.util.Set;

/**
 * Parses one line from a console and maps the words of the protocol to a {@link ControlRequest}. An
 * instance parses a single line. Pure.
 */
final class ControlRequestParser {

    private static final int MAX_TEXT_LENGTH = 200;
    private static final long US_PER_MS = 1_000;

    /** The maximum duration of a drain: a hundred years. */
    private static final long MAX_DURATION_MS = 100L * 366 * 24 * 3_600_000;

    private static final long NO_DURATION = Long.MAX_VALUE;
    private static final Set<String> FIELDS =
            Set.of(
                    "v", "id", "do", "from", "boot", "after", "op", "worker", "for_ms", "who",
                    "reason", "force");

    private final JsonObject json;
    private final String id;

    private ControlRequestParser(JsonObject json) throws InvalidControlRequestException {
        this.json = json;
        this.id = text(json, "id", null, null);
        if (id == null) {
            throw new InvalidControlRequestException(
                    null, "id is missing: the answer would carry it");
        }
    }

    /**
     * Parses one line.
     *
     * @throws InvalidControlRequestException if the line is not a valid request
     */
    static ControlRequest parse(String line) throws InvalidControlRequestException {
        return new ControlRequestParser(parseObject(line)).request();
    }

    private static JsonObject parseObject(String line) throws InvalidControlRequestException {
        try {
            final JsonElement element = JsonParser.parseString(line);
            if (!element.isJsonObject()) {
                throw new InvalidControlRequestException(
                        null, "a request is one JSON object a line");
            }
            return element.getAsJsonObject();
        } catch (JsonParseException | StackOverflowError e) {
            // The parser is recursive: deeply nested input overflows the stack.
            throw new InvalidControlRequestException(
                    null, "a request is one JSON object a line; this is no JSON");
        }
    }

    private ControlRequest request() throws InvalidControlRequestException {
        checkVersion();
        checkFields();
        final ControlCommand command = command();
        return new ControlRequest(
                id,
                command,
                number("from", 0),
                text("boot", ""),
                number("after", 0),
                command.isOperation() ? operation(command) : null);
    }

    private void checkVersion() throws InvalidControlRequestException {
        final long version = number("v", -1);
        if (version == -1) {
            throw invalid("v is missing; this node speaks version " + ControlRequest.VERSION);
        }
        if (version != ControlRequest.VERSION) {
            throw invalid(
                    "version "
                            + version
                            + " is not spoken here; this node speaks version "
                            + ControlRequest.VERSION);
        }
    }

    private void checkFields() throws InvalidControlRequestException {
        for (final String field : json.keySet()) {
            if (!FIELDS.contains(field)) {
                throw invalid("there is no field '" + field + "'");
            }
        }
    }

    private ControlCommand command() throws InvalidControlRequestException {
        final String word = text("do", "");
        return ControlCommand.ofWireName(word)
                .orElseThrow(
                        () ->
                                invalid(
                                        "do is '"
                                                + word
                                                + "'; there are workers, subscribe, events, drain,"
                                                + " undrain"));
    }

    private DrainOperation operation(ControlCommand command) throws InvalidControlRequestException {
        final String operationId = text("op", "");
        final String worker = text("worker", "");
        require("op", operationId);
        require("worker", worker);
        final long durationMs = number("for_ms", NO_DURATION);
        if (durationMs != NO_DURATION && (durationMs < 1 || durationMs > MAX_DURATION_MS)) {
            throw invalid("for_ms is " + durationMs + "; allowed: 1 to " + MAX_DURATION_MS);
        }
        final boolean isForced = flag("force");
        return new DrainOperation(
                operationId,
                command == ControlCommand.DRAIN,
                worker,
                durationMs == NO_DURATION ? DrainRegistry.NO_END_US : durationMs * US_PER_MS,
                text("who", "somebody"),
                text("reason", ""),
                isForced);
    }

    private void require(String field, String text) throws InvalidControlRequestException {
        if (text.isEmpty()) {
            throw invalid(field + " is missing");
        }
    }

    private boolean flag(String field) throws InvalidControlRequestException {
        final JsonElement value = json.get(field);
        if (value == null) {
            return false;
        }
        if (value instanceof JsonPrimitive flag && flag.isBoolean()) {
            return flag.getAsBoolean();
        }
        throw invalid(field + " is neither true nor false");
    }

    private String text(String field, String defaultText) throws InvalidControlRequestException {
        return text(json, field, id, defaultText);
    }

    private static String text(JsonObject json, String field, String id, String defaultText)
            throws InvalidControlRequestException {
        final JsonElement value = json.get(field);
        if (value == null) {
            return defaultText;
        }
        if (!(value instanceof JsonPrimitive primitive && primitive.isString())) {
            throw new InvalidControlRequestException(id, field + " is no text");
        }
        final String text = value.getAsString();
        if (text.length() > MAX_TEXT_LENGTH || text.chars().anyMatch(Character::isISOControl)) {
            // Control characters would move the cursor on other consoles and split log lines.
            throw new InvalidControlRequestException(
                    id, field + " has control characters, or more than " + MAX_TEXT_LENGTH);
        }
        return text;
    }

    private long number(String field, long defaultNumber) throws InvalidControlRequestException {
        final JsonElement value = json.get(field);
        if (value == null) {
            return defaultNumber;
        }
        try {
            if (value instanceof JsonPrimitive primitive && primitive.isNumber()) {
                return value.getAsBigDecimal().longValueExact();
            }
        } catch (ArithmeticException | NumberFormatException e) {
            throw invalid(field + " is no whole number that fits");
        }
        throw invalid(field + " is no whole number");
    }

    private InvalidControlRequestException invalid(String message) {
        return new InvalidControlRequestException(id, message);
    }
}
