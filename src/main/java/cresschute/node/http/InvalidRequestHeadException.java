package cresschute.node.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The head of a request is invalid: the request is answered by a status and never submitted. It has
 * no stack trace, as clients can cause it at any rate.
 */
final class InvalidRequestHeadException extends Exception {

    private static final long serialVersionUID = 1L;
    private final transient HttpResponseStatus status;

    /**
     * An error that is answered by this status.
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
