package cresschute.dispatch;

/** How an attempt or load query ended. */
public enum Outcome {
    /** A complete answer. */
    SERVED("served"),
    /** An answer that reports an error of the worker. */
    ERROR("error"),
    /** Rejected because the worker is full. */
    FULL("full"),
    /** No complete answer by the deadline. */
    TIMED_OUT("timed_out"),
    /** No connection; nothing was sent. */
    CONNECT_FAILED("connect_failed"),
    /** The connection closed after something was sent. */
    BROKEN("broken"),
    /** Cancelled by the host. */
    CANCELLED("cancelled"),
    /** Not sent by the host; nothing ran. */
    NOT_SENT("not_sent"),
    /** The request is invalid for any worker; it does not count against this one. */
    UNUSABLE("unusable");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** The word in the log. */
    public String wireName() {
        return wireName;
    }
}
