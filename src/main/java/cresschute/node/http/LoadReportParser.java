package cresschute.node.http;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import cresschute.node.Json;

/** Load reports in their two forms: a header's name=value list and a JSON object. */
final class LoadReportParser {

    private LoadReportParser() {}

    /** Reads a header; null is no report, and what is not a name with a number is an error. */
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
                throw new JsonParseException("unusable load report: " + header);
            }
        }
        return parse(fields);
    }

    /** Reads an object; fields that it lacks count as not told. */
    static LoadReport parse(JsonObject fields) {
        final double outstanding =
                Json.number(fields, "inflight", Json.number(fields, "outstanding", -1));
        final double waiting = Json.number(fields, "queue", Json.number(fields, "backlog", -1));
        return new LoadReport(Json.number(fields, "x0", -1), outstanding, waiting);
    }

    /** Reads the body of an answer to a load query, in either form. */
    static LoadReport parseBody(String body) {
        return body.stripLeading().startsWith("{") ? parse(Json.object(body)) : parseHeader(body);
    }
}
