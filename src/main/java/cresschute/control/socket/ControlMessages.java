package cresschute.control.socket;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.control.EventBatch;
import cresschute.control.OperatorEvent;
import cresschute.control.TableDelta;
import java.util.Map;
import java.util.Optional;

/**
 * Formats the lines that a node writes to consoles, as the protocol in {@code docs/console.md}
 * defines them. Stateless.
 */
final class ControlMessages {

    private static final long US_PER_MS = 1_000;
    private static final Gson GSON = new Gson();

    private ControlMessages() {}

    /**
     * Formats the answer to an invalid or rejected request, with the request's id if it could be
     * read.
     */
    static String error(Optional<String> requestId, String reason) {
        final JsonObject message = new JsonObject();
        requestId.ifPresent(id -> message.addProperty("re", id));
        message.addProperty("ok", false);
        message.addProperty("error", reason);
        return message.toString();
    }

    /** Formats an answer with these fields. */
    static String answer(String requestId, JsonObject fields) {
        final JsonObject message = new JsonObject();
        message.addProperty("re", requestId);
        fields.entrySet().forEach(each -> message.add(each.getKey(), each.getValue()));
        return message.toString();
    }

    /** Formats an answer with rows or events. */
    static String answer(
            String requestId,
            String incarnation,
            Optional<TableDelta> rows,
            Optional<EventBatch> events) {
        return content(
                "\"re\":" + GSON.toJson(requestId) + ",\"ok\":true,", incarnation, rows, events);
    }

    /**
     * Formats an update, which answers no request and holds the changes since the last line,
     * possibly none.
     */
    static String update(
            String incarnation, Optional<TableDelta> rows, Optional<EventBatch> events) {
        return content("", incarnation, rows, events);
    }

    private static String content(
            String leadingFields,
            String incarnation,
            Optional<TableDelta> rows,
            Optional<EventBatch> events) {
        final StringBuilder message =
                new StringBuilder("{")
                        .append(leadingFields)
                        .append("\"boot\":")
                        .append(GSON.toJson(incarnation));
        rows.ifPresent(delta -> appendRows(message, delta));
        events.ifPresent(batch -> appendEvents(message, batch));
        return message.append('}').toString();
    }

    /** The text of each row is already JSON. */
    private static void appendRows(StringBuilder message, TableDelta delta) {
        message.append(",\"number\":")
                .append(delta.version())
                .append(",\"whole\":")
                .append(delta.isComplete())
                .append(",\"rows\":{");
        String separator = "";
        for (final Map.Entry<String, String> row : delta.rows().entrySet()) {
            message.append(separator)
                    .append(GSON.toJson(row.getKey()))
                    .append(':')
                    .append(row.getValue());
            separator = ",";
        }
        message.append("},\"gone\":").append(GSON.toJson(delta.removed()));
    }

    private static void appendEvents(StringBuilder message, EventBatch batch) {
        final JsonArray events = new JsonArray();
        batch.events().forEach(each -> events.add(json(each)));
        message.append(",\"missed\":").append(batch.missed()).append(",\"events\":").append(events);
    }

    private static JsonObject json(OperatorEvent event) {
        final JsonObject json = new JsonObject();
        json.addProperty("n", event.number());
        json.addProperty("at_ms", event.atUs() / US_PER_MS);
        json.addProperty("kind", event.kind());
        if (event.worker() != null) {
            json.addProperty("worker", event.worker());
        }
        json.addProperty("text", event.text());
        return json;
    }
}
