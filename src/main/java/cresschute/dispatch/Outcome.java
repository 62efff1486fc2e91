package cresschute.dispatch;

/** How an attempt or load query ended. */
public enum Outcome {
    /** The worker sent a complete answer. */
    SERVED("served"),
    /** The worker's answer reports an error or cannot be parsed. The job may have run. */
    ERROR("error"),
    /**
     * The worker rejected the job because it is full. The job did not run, unless {@link
     * DispatchSettings#fullMayHaveRun}.
     */
    FULL("full"),
    /** The whole request was sent, but no complete answer came by the deadline. */
    TIMED_OUT("timed_out"),
    /**
     * The request was not sent completely: the connection failed or closed, or the deadline passed,
     * before the last byte of the request was written. Nothing ran.
     */
    CONNECT_FAILED("connect_failed"),
    /**
     * The connection closed or was reset after the whole request was sent. The job may have run.
     */
    BROKEN("broken"),
    /** The host cancelled the attempt. */
    CANCELLED("cancelled"),
    /** The host did not send the attempt; nothing ran. */
    NOT_SENT("not_sent"),
    /** The request is invalid for any worker; the outcome does not count against this one. */
    UNUSABLE("unusable");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** The name of the outcome in the log. */
    public String wireName() {
        return wireName;
    }
}
