package cresschute.node.http;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.node.Json;

/**
 * One line of a worker's response. Immutable.
 *
 * @param outcome how the attempt ended; null unless the kind is {@link Kind#END}
 * @param fractionDone fraction of the job that is done, 0 to 1
 * @param load the worker's load report, or {@link LoadReport#NONE}
 * @param text the result for the client if the job was served; the content type, or null, if a
 *     streamed result follows; otherwise null
 * @param resultLength length of the streamed result that follows, bytes, or {@link
 *     StreamedResponseBody#UNKNOWN_LENGTH}
 */
record ProgressLine(
        Kind kind,
        Outcome outcome,
        double fractionDone,
        LoadReport load,
        String text,
        long resultLength) {

    /** The kind of event that a line reports. */
    enum Kind {
        /** The job has started or made progress. */
        PROGRESS,
        /** A streamed result follows this line. */
        RESULT_FOLLOWS,
        /** The attempt has ended. */
        END
    }

    private static final double MAX_RESULT_BYTES = 1L << 50;

    private static ProgressLine progress(double fractionDone, LoadReport load) {
        return new ProgressLine(
                Kind.PROGRESS, null, fractionDone, load, null, StreamedResponseBody.UNKNOWN_LENGTH);
    }

    private static ProgressLine resultFollows(String type, long length, LoadReport load) {
        return new ProgressLine(Kind.RESULT_FOLLOWS, null, 1, load, type, length);
    }

    private static ProgressLine end(Outcome outcome, String text, LoadReport load) {
        return new ProgressLine(
                Kind.END, outcome, 1, load, text, StreamedResponseBody.UNKNOWN_LENGTH);
    }

    /**
     * Parses a line.
     *
     * @param requestId ID of the request that was sent
     * @throws RequestIdMismatchException if the line carries another request ID
     * @throws JsonParseException if the line is malformed
     */
    static ProgressLine parse(String line, String requestId) {
        final JsonObject json = Json.object(line);
        if (!Json.string(json, "id").equals(requestId)) {
            throw new RequestIdMismatchException();
        }
        final LoadReport load =
                json.has("load")
                        ? LoadReportParser.parse(Json.child(json, "load"))
                        : LoadReport.NONE;
        final String state = Json.string(json, "state");
        return switch (state) {
            case "started" -> progress(0, load);
            case "running" -> progress(fractionDone(json), load);
            case "done" -> end(Outcome.SERVED, Json.string(json, "result"), load);
            case "result" -> resultFollows(contentType(json), length(json), load);
            case "failed" -> end(Outcome.ERROR, null, load);
            case "returned" -> end(Outcome.FULL, null, load);
            case "lost" -> end(Outcome.BROKEN, null, load);
            default -> throw new JsonParseException("unknown state: " + state);
        };
    }

    /** The content type, or null. It is printable ASCII, so that it is safe in a header. */
    private static String contentType(JsonObject json) {
        final String type = json.has("type") ? Json.string(json, "type") : null;
        if (type != null && !type.chars().allMatch(each -> each >= ' ' && each <= '~')) {
            throw new JsonParseException("type has characters other than printable ASCII");
        }
        return type;
    }

    private static long length(JsonObject json) {
        if (!json.has("length")) {
            return StreamedResponseBody.UNKNOWN_LENGTH;
        }
        final double length = Json.number(json, "length", -1);
        if (!(length >= 0 && length <= MAX_RESULT_BYTES && length == Math.rint(length))) {
            throw new JsonParseException("length is not a whole number from 0 to 2^50");
        }
        return (long) length;
    }

    private static double fractionDone(JsonObject json) {
        final double share = Json.number(json, "share", 0);
        if (!(share >= 0 && share <= 1)) {
            throw new JsonParseException("share is not between 0 and 1");
        }
        return share;
    }
}
