package cresschute.node;

import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Supplier;

/**
 * Logs the status of a node, and the broken invariants if their number has increased. Owns the last
 * logged number. Call from the event loop.
 */
final class StatusLog {

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final Supplier<Status> status;
    private final Invariant invariant;
    private long violationsLogged;

    /**
     * The status of a node at one moment.
     *
     * @param requests the number of unanswered requests
     * @param clientConnections the number of connections from clients
     * @param workerConnections the number of connections to workers
     * @param bodyBytes the bytes of the buffer budget that long bodies hold
     * @param requestBytes the bytes that other requests hold
     * @param listVersion version of the endpoint list, or -1
     * @param memory the bytes of each use of the memory account
     * @param directBytes the direct memory of the pool, bytes
     * @param outOfMemory how often the heap reserve was released
     * @param loopLagMs the largest lag of the event loop since the last status, ms
     */
    record Status(
            int requests,
            int clientConnections,
            int workerConnections,
            long bodyBytes,
            long requestBytes,
            long listVersion,
            String memory,
            long directBytes,
            long outOfMemory,
            long loopLagMs) {}

    /** Creates a log of this status and of these invariants. */
    StatusLog(Supplier<Status> status, Invariant invariant) {
        this.status = status;
        this.invariant = invariant;
    }

    /** Logs the status now. */
    void log() {
        final Status now = status.get();
        LogEvent.of(
                        "status",
                        "status: "
                                + now.requests()
                                + " requests open, "
                                + now.clientConnections()
                                + " client and "
                                + now.workerConnections()
                                + " worker connections, "
                                + now.bodyBytes()
                                + " bytes of long bodies, list version "
                                + now.listVersion()
                                + ", "
                                + now.requestBytes()
                                + " bytes of other requests, loop lag "
                                + now.loopLagMs()
                                + " ms, direct memory "
                                + now.directBytes()
                                + ", out of memory "
                                + now.outOfMemory()
                                + " times; memory: "
                                + now.memory())
                .with("requests", now.requests())
                .with("client_connections", now.clientConnections())
                .with("worker_connections", now.workerConnections())
                .with("body_bytes", now.bodyBytes())
                .with("request_bytes", now.requestBytes())
                .with("list_version", now.listVersion())
                .with("loop_lag_ms", now.loopLagMs())
                .with("direct_bytes", now.directBytes())
                .with("out_of_memory", now.outOfMemory())
                .with("memory", now.memory())
                .log(LOG, Level.INFO);
        if (invariant.total() > violationsLogged) {
            violationsLogged = invariant.total();
            LogEvent.of("invariants_broken", "invariants broken so far: " + invariant)
                    .with("count", violationsLogged)
                    .with("names", invariant)
                    .log(LOG, Level.ERROR);
        }
    }
}
