package cresschute.node.http;

import com.google.gson.JsonParseException;

/** Thrown if a line of a worker's response carries another request ID than the request sent. */
final class RequestIdMismatchException extends JsonParseException {

    private static final long serialVersionUID = 1L;

    RequestIdMismatchException() {
        super("id of the line is not the id of the request");
    }
}
