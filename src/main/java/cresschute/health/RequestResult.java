package cresschute.health;

/** How a request ended. */
public enum RequestResult {
    /** A worker served it. */
    SERVED,
    /** The dispatcher rejected it. */
    REJECTED,
    /** It was accepted but no worker served it. */
    FAILED,
    /** Its client closed the connection before an answer. */
    CLIENT_LEFT
}
