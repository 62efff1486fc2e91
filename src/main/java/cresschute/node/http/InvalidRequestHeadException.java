package cresschute.node.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown if the head of a request is invalid. The request is answered with an error status and
 * never submitted. The exception has no stack trace, because clients can cause it at any rate.
 */
final class InvalidRequestHeadException extends Exception {

    private static final long serialVersionUID = 1L;
    private final transient HttpResponseStatus status;

    /**
     * Creates an exception that is answered with this status.
     *
     * @param reason sent to the client as the body of the response
     */
    InvalidRequestHeadException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }
}
