package cresschute.dispatch;

/** How an attempt ended. */
public enum Outcome {
    SERVED("served"),
    ERROR("error"),
    FULL("full"),
    TIMED_OUT("timed_out"),
    CONNECT_FAILED("connect_failed"),
    BROKEN("broken"),
    CANCELLED("cancelled"),
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
