package cresschute.testbed.capacity;

/** The kinds by which the stubs count messages and bytes. */
public enum TrafficKind {

    /** A load query or liveness check, and its response. */
    PROBE(true),
    /** The head and body of a request to a worker, and the head of the response. */
    REQUEST(false),
    /** A progress line that reports the start of a job. */
    START_LINE(false),
    /** A progress line that reports the progress of a job. */
    PROGRESS_LINE(false),
    /** The last line of a response, without its load report. */
    RESULT_LINE(false),
    /** A load report in a result line or in the header of a rejection. */
    LOAD_REPORT(true),
    /** The opening of a TCP connection; its bytes are estimated, not counted. */
    HANDSHAKE(true),
    /** A call for the endpoint list or its changes, and the response. */
    LIST(true);

    private final boolean control;

    TrafficKind(boolean control) {
        this.control = control;
    }

    /** Returns whether it is control traffic: all but requests, their progress and results. */
    public boolean isControl() {
        return control;
    }

    /** The name in results. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
