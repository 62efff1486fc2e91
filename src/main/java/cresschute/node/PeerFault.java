package cresschute.node;

import java.util.Locale;

/** The kinds of faults of clients, workers and discovery that {@link RateLimitedLog} counts. */
public enum PeerFault {

    /** A call to discovery returned no list. */
    DISCOVERY_CALL_FAILED("discovery call failed"),
    /** A worker sent an invalid response. */
    BAD_WORKER_ANSWER("bad worker answer"),
    /** A connection to a worker failed with an error other than a reset. */
    WORKER_CONNECTION("worker connection"),
    /** A connection from a client failed with an error other than a reset. */
    CLIENT_CONNECTION("client connection"),
    /** The requests of all clients took the memory that they may take. */
    REQUEST_MEMORY_EXCEEDED("no memory for a request"),
    /** The unfinished lines of all workers took the memory that they may take. */
    LINE_MEMORY_EXCEEDED("no memory for a worker's line"),
    /** There was no capacity for a long body. */
    BODY_CAPACITY_EXCEEDED("no capacity for a long body"),
    /** The sender or the receiver of a long body was too slow. */
    BODY_TOO_SLOW("a long body was too slow"),
    /** An attempt was not written, as what allowed it when it was chosen held no longer. */
    ATTEMPT_NOT_SENT("attempt not sent"),
    /** All connections to workers are in use. */
    NO_CONNECTION_LEFT("no connection left");

    private final String text;

    PeerFault(String text) {
        this.text = text;
    }

    /** The text of its log lines. */
    String text() {
        return text;
    }

    /** The event name of its log lines. */
    String event() {
        return name().toLowerCase(Locale.ROOT);
    }
}
