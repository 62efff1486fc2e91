package cresschute.node.http;

import com.google.gson.JsonParseException;

/** A line of a worker's response names another request than the one that was sent. */
final class RequestIdMismatchException extends JsonParseException {

    private static final long serialVersionUID = 1L;

    RequestIdMismatchException() {
        super("a line about another request");
    }
}
