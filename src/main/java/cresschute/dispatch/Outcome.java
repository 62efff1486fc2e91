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
     * The request was not sent completely: before its last byte was written, the connection failed
     * or closed, the worker read the body too slowly, or the deadline passed (for a streamed body,
     * the deadline gives {@link #CANCELLED}). Nothing ran.
     */
    CONNECT_FAILED("connect_failed"),
    /**
     * The connection closed or was reset after the whole request was sent. The job may have run.
     */
    BROKEN("broken"),
    /** The program that hosts the dispatcher cancelled the attempt. */
    CANCELLED("cancelled"),
    /** The program that hosts the dispatcher did not send the attempt; nothing ran. */
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
