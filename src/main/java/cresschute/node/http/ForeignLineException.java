package cresschute.node.http;

import com.google.gson.JsonParseException;

/** A line of a worker's response names another request than the one that was sent. */
final class ForeignLineException extends JsonParseException {

    private static final long serialVersionUID = 1L;

    ForeignLineException() {
        super("a line about another request");
    }
}
