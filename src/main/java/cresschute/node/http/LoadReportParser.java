package cresschute.node.http;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import cresschute.node.Json;

/**
 * Parses load reports in their two forms: a header with {@code name=number} pairs separated by
 * commas, and a JSON object.
 */
final class LoadReportParser {

    /** The value of a figure that the worker does not report. */
    private static final double NOT_STATED = -1;

    private LoadReportParser() {}

    /**
     * Parses a header.
     *
     * @param header the header's value; null or blank results in {@link LoadReport#NONE}
     * @throws JsonParseException if a value is not a number
     */
    static LoadReport parseHeader(String header) {
        if (header == null || header.isBlank()) {
            return LoadReport.NONE;
        }
        final JsonObject fields = new JsonObject();
        for (final String pair : header.split(",")) {
            final int split = pair.indexOf('=');
            try {
                fields.addProperty(
                        pair.substring(0, Math.max(0, split)).strip(),
                        Double.valueOf(pair.substring(split + 1).strip()));
            } catch (NumberFormatException e) {
                throw new JsonParseException("load report is not a list of name=number: " + header);
            }
        }
        return parse(fields);
    }

    /**
     * Parses a JSON object; missing figures count as not reported.
     *
     * @throws JsonParseException if a figure is not a number
     */
    static LoadReport parse(JsonObject fields) {
        final double outstanding =
                Json.number(fields, "inflight", Json.number(fields, "outstanding", NOT_STATED));
        final double waiting =
                Json.number(fields, "queue", Json.number(fields, "backlog", NOT_STATED));
        final double freeSlots = Json.number(fields, "x0", NOT_STATED);
        return new LoadReport(freeSlots, outstanding, waiting);
    }

    /**
     * Parses the body of a response to a load query, in either form.
     *
     * @throws JsonParseException if it has neither form
     */
    static LoadReport parseBody(String body) {
        return body.stripLeading().startsWith("{") ? parse(Json.object(body)) : parseHeader(body);
    }
}
