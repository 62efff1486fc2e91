package cresschute.node.http;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.node.Json;

/**
 * One line of a worker's answer.
 *
 * @param outcome how the attempt ended, or null where it goes on
 * @param share how much is done, where it goes on
 * @param result what the client gets, where it is served; the type of what follows, where that is a
 *     result
 * @param follows bytes of the result that follows this line, -1 where that is not told; null where
 *     none does
 */
record ProgressLine(Outcome outcome, double share, LoadReport load, String result, Long follows) {

    private static final double MAX_BYTES = 1L << 50;

    /** A line that names another request than the one that was asked about. */
    static final class OtherRequestException extends JsonParseException {

        private static final long serialVersionUID = 1L;

        OtherRequestException() {
            super("a line about another req");
        }
    }

    ProgressLine(Outcome outcome, double share, LoadReport load, String result) {
        this(outcome, share, load, result, null);
    }

    /** Reads a line about this request; any flaw is a {@link JsonParseException}. */
    static ProgressLine parse(String text, String requestId) {
        final JsonObject json = Json.object(text);
        if (!Json.string(json, "id").equals(requestId)) {
            throw new OtherRequestException();
        }
        final LoadReport load =
                json.has("load")
                        ? LoadReportParser.parse(Json.child(json, "load"))
                        : LoadReport.NONE;
        final String state = Json.string(json, "state");
        return switch (state) {
            case "started" -> new ProgressLine(null, 0, load, null);
            case "running" -> new ProgressLine(null, share(json), load, null);
            case "done" -> new ProgressLine(Outcome.SERVED, 1, load, Json.string(json, "result"));
            case "result" -> new ProgressLine(null, 1, load, type(json), length(json));
            case "failed" -> new ProgressLine(Outcome.ERROR, 0, load, null);
            case "returned" -> new ProgressLine(Outcome.FULL, 0, load, null);
            case "lost" -> new ProgressLine(Outcome.BROKEN, 0, load, null);
            default -> throw new JsonParseException("unknown state " + state);
        };
    }

    /** A type that can stand in a head. */
    private static String type(JsonObject json) {
        final String type = json.has("type") ? Json.string(json, "type") : null;
        if (type != null && !type.chars().allMatch(each -> each >= ' ' && each <= '~')) {
            throw new JsonParseException("type is unusable");
        }
        return type;
    }

    private static long length(JsonObject json) {
        final double length = Json.number(json, "length", -1);
        if (json.has("length")
                && !(length >= 0 && length <= MAX_BYTES && length == Math.rint(length))) {
            throw new JsonParseException("length is unusable");
        }
        return (long) length;
    }

    private static double share(JsonObject json) {
        final double share = Json.number(json, "share", 0);
        if (!(share >= 0 && share <= 1)) {
            throw new JsonParseException("share is out of range");
        }
        return share;
    }
}
