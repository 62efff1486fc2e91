package cresschute.testbed.capacity;

/** What bytes and messages are counted as, at the stand-ins. */
public enum TrafficKind {

    /** A question for a sign of life and the load, and its answer. */
    PROBE(true),
    /** A request's head and body at a worker, and the head of the answer. */
    REQUEST(false),
    /** A line that reports a job's start. */
    START_LINE(false),
    /** A line that reports a job's progress. */
    PROGRESS_LINE(false),
    /** The last line of an answer, without its load report. */
    RESULT_LINE(false),
    /** A load report in a result's line or in a refusal's header. */
    LOAD_REPORT(true),
    /** A TCP connection coming up; its bytes are reckoned, not counted. */
    HANDSHAKE(true),
    /** A call for the list, or for its changes, and its answer. */
    LIST(true);

    private final boolean control;

    TrafficKind(boolean control) {
        this.control = control;
    }

    /** Whether it is control traffic: all that is neither a request nor what becomes of it. */
    public boolean isControl() {
        return control;
    }

    /** Its name in results. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
