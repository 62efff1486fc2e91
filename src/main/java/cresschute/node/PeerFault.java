package cresschute.node;

import java.util.Locale;

/** Faults with peers, which come in numbers: each kind is counted, and logged once in a while. */
public enum PeerFault {

    /** A call to discovery brought no list. */
    DISCOVERY_CALL_FAILED("discovery call failed"),
    /** A worker answered something that cannot be used. */
    BAD_WORKER_ANSWER("bad worker answer"),
    /** A connection to a worker failed otherwise than by breaking. */
    WORKER_CONNECTION("worker connection"),
    /** A connection from a client did. */
    CLIENT_CONNECTION("client connection"),
    /** There was no room for a long body. */
    BODY_CAPACITY_EXCEEDED("no capacity for a long body"),
    /** One side of a long body moved too little. */
    BODY_TOO_SLOW("a long body was too slow"),
    /** All connections to workers are in use. */
    NO_CONNECTION_LEFT("no connection left");

    private final String text;

    PeerFault(String text) {
        this.text = text;
    }

    /** What the log calls it. */
    String text() {
        return text;
    }

    /** The name of its kind of line. */
    String event() {
        return name().toLowerCase(Locale.ROOT);
    }
}
