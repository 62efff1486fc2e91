package cresschute.health;

/** How a request ended. */
public enum RequestResult {
    /** A worker served the request. */
    SERVED,
    /** The dispatcher rejected the request. */
    REJECTED,
    /** The request was accepted but no worker served it. */
    FAILED,
    /** The client closed the connection before the request was answered. */
    CLIENT_LEFT
}
