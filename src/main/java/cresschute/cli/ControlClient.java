package cresschute.cli;

import com.google.gson.JsonObject;
import cresschute.console.ControlLink;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A command's connection to a node: one request, its answer, and the lines that follow. Used by one
 * thread.
 */
final class ControlClient implements AutoCloseable {

    private static final int MAX_QUEUED_LINES = 64;
    private static final long ANSWER_TIMEOUT_S = 10;

    private final BlockingQueue<JsonObject> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final ControlLink link;

    /** The request was refused as such, or there is no node; its message is for the person. */
    static final class RequestFailedException extends Exception {

        private static final long serialVersionUID = 1L;
        private final boolean retryable;

        RequestFailedException(String message, boolean worthRetrying) {
            super(message, null, false, false);
            this.retryable = worthRetrying;
        }

        /** Whether it is the connection that failed, and not the node that said no. */
        boolean isRetryable() {
            return retryable;
        }
    }

    ControlClient(Path socket) throws RequestFailedException {
        try {
            link =
                    ControlLink.open(
                            socket,
                            this::enqueue,
                            reason -> {
                                final JsonObject end = new JsonObject();
                                end.addProperty("ended", reason);
                                enqueue(end);
                            });
        } catch (IOException e) {
            throw new RequestFailedException(e.getMessage(), true);
        }
    }

    private void enqueue(JsonObject line) {
        try {
            lines.put(line);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request and returns its answer; other lines that come before it are passed over. */
    JsonObject request(JsonObject request) throws RequestFailedException, InterruptedException {
        try {
            link.send(request);
        } catch (IOException e) {
            throw new RequestFailedException(
                    "connection to the node failed: " + e.getMessage(), true);
        }
        final String id = request.get("id").getAsString();
        JsonObject line = nextLine(ANSWER_TIMEOUT_S * 1000);
        while (line != null && !(line.has("re") && line.get("re").getAsString().equals(id))) {
            line = nextLine(ANSWER_TIMEOUT_S * 1000);
        }
        if (line == null) {
            throw new RequestFailedException(
                    "the node has not answered for " + ANSWER_TIMEOUT_S + " s", true);
        }
        return line;
    }

    /** The next line, or null if none comes in time. */
    JsonObject nextLine(long timeoutMs) throws RequestFailedException, InterruptedException {
        final JsonObject line = lines.poll(timeoutMs, TimeUnit.MILLISECONDS);
        if (line != null && line.has("ended")) {
            throw new RequestFailedException(line.get("ended").getAsString(), true);
        }
        if (line != null && line.has("ok") && !line.get("ok").getAsBoolean()) {
            throw new RequestFailedException(line.get("error").getAsString(), false);
        }
        return line;
    }

    @Override
    public void close() {
        link.close();
    }
}
