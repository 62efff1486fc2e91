package cresschute.dispatch;

/** How an attempt or load query ended. */
public enum Outcome {
    /** A complete answer. */
    SERVED("served"),
    /** An answer that reports an error, or that cannot be read. The job may have run. */
    ERROR("error"),
    /**
     * Rejected because the worker is full; the job did not run, unless the settings say that a full
     * worker may drop what it had begun.
     */
    FULL("full"),
    /** No complete answer by the deadline, though the whole request was sent. */
    TIMED_OUT("timed_out"),
    /**
     * The request did not go out whole: no connection came up, or it closed, or the time was over,
     * before the last byte of the request was written. Nothing ran.
     */
    CONNECT_FAILED("connect_failed"),
    /** The connection closed, or was reset, after the whole request was sent; it may have run. */
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
