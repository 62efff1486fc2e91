package cresschute.flow;

/**
 * The kinds of heap memory that peers can make a node hold. All memory whose size a peer decides is
 * reserved under one of them in the node's {@link MemoryAccount}.
 */
public enum MemoryUse {

    /** Objects and parser state of the connections from clients. */
    CLIENT_CONNECTIONS,
    /** Objects and parser state of the connections to workers. */
    WORKER_CONNECTIONS,
    /** Unfinished heads and bodies of clients' requests. */
    UNFINISHED_INPUT,
    /** Whole requests, queued or in flight, with their bodies. */
    REQUESTS,
    /** Responses that wait for earlier ones, or that their client has not taken yet. */
    RESPONSES,
    /** Unfinished lines of workers. */
    WORKER_LINES,
    /** Ids of requests that may have had their effect. */
    REQUEST_IDS;

    /** The name in logs, in lower case. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
