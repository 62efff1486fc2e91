package cresschute.node;

import cresschute.logs.LogEvent;
import cresschute.logs.RepeatedTask;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Shuts a node down gracefully on SIGTERM. The node reports not ready, accepts connections for a
 * short time (unless the platform passed its listener on, since the other process accepts there),
 * answers all accepted requests, and ends once no client connection is open. Owns the state of the
 * shutdown and the future that completes at its end. Lives from {@link #begin} to that future. Call
 * its methods on the event loop unless stated otherwise.
 */
final class GracefulShutdown {

    /**
     * How long after the shutdown begins clients may still connect and send requests, milliseconds.
     */
    private static final long ACCEPT_GRACE_MS = 550;

    /**
     * The platform may kill a stopping node after its longest request deadline, capped at this
     * value, plus {@link #KILL_GRACE_US}; microseconds.
     */
    private static final long MAX_DEADLINE_US = 3_000_000;

    private static final long KILL_GRACE_US = 700_000;

    /** How long before a kill all open requests are answered, microseconds. */
    private static final long ANSWER_BEFORE_KILL_US = 250_000;

    /** The interval at which unanswered requests are logged, milliseconds. */
    private static final long LOG_INTERVAL_MS = 500;

    /** The interval at which the end of the shutdown is checked for, milliseconds. */
    private static final long CHECK_INTERVAL_MS = 20;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final ScheduledExecutorService loop;
    private final Steps steps;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean begun;
    private long nextLogMs;

    /** The queries and steps of the node that a shutdown needs. Called on the event loop. */
    interface Steps {

        /** The number of requests without an answer. */
        int unanswered();

        /** The number of open client connections. */
        int clientConnections();

        /**
         * Makes the node report that it is not ready and is stopping. If the platform passed its
         * listener on, the node also accepts no more connections from now on.
         */
        void becomeNotReady();

        /**
         * The longest deadline of any request class; it determines when the platform kills the
         * node.
         *
         * @return microseconds, or empty if no platform kills the node
         */
        OptionalLong longestDeadlineUs();

        /** Answers all open requests after this delay, microseconds. */
        void answerAllAfter(long delayUs);

        /** Stops accepting connections, and closes idle ones. */
        void stopAccepting();

        /**
         * Leaves the group of peer dispatchers. Called again until it returns true.
         *
         * @return whether the node has left, or has no peers
         */
        boolean leavePeers();

        /** Logs the status a last time. */
        void logStatus();

        /**
         * Closes all open resources and the event loop.
         *
         * @param closed completed when all pending writes are done
         */
        void close(CompletableFuture<Void> closed);
    }

    /** Creates a shutdown that has not begun. */
    GracefulShutdown(ScheduledExecutorService loop, Steps steps) {
        this.loop = loop;
        this.steps = steps;
    }

    /**
     * Completed when all accepted requests are answered and all resources are closed. Any thread.
     */
    CompletableFuture<Void> stopped() {
        return stopped;
    }

    /** Begins the shutdown; has no effect after the first call. */
    void begin() {
        if (begun) {
            return;
        }
        begun = true;
        LogEvent.of("stopping", "stopping: " + steps.unanswered() + " requests are unanswered")
                .with("count", steps.unanswered())
                .log(LOG, Level.INFO);
        steps.becomeNotReady();
        loop.schedule(this::stopAccepting, ACCEPT_GRACE_MS, TimeUnit.MILLISECONDS);
        steps.longestDeadlineUs()
                .ifPresent(deadlineUs -> steps.answerAllAfter(answerDelayUs(deadlineUs)));
    }

    private static long answerDelayUs(long deadlineUs) {
        return Math.min(deadlineUs, MAX_DEADLINE_US) + KILL_GRACE_US - ANSWER_BEFORE_KILL_US;
    }

    private void stopAccepting() {
        steps.stopAccepting();
        LogEvent.of(
                        "not_accepting",
                        "no longer accepting: " + steps.unanswered() + " requests are unanswered")
                .with("count", steps.unanswered())
                .log(LOG, Level.INFO);
        loop.scheduleWithFixedDelay(
                new RepeatedTask("shutdown", this::closeIfDone),
                0,
                CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the node once no client connection is open. Each connection is closed when its last
     * answer is written.
     */
    private void closeIfDone() {
        final long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (steps.clientConnections() > 0 && nowMs >= nextLogMs) {
            nextLogMs = nowMs + LOG_INTERVAL_MS;
            logUnanswered();
        }
        if (steps.clientConnections() == 0 && !stopped.isDone() && steps.leavePeers()) {
            steps.logStatus();
            LogEvent.of("stopped", "stopped: all accepted requests are answered")
                    .log(LOG, Level.INFO);
            steps.close(stopped);
        }
    }

    /**
     * Logs the unanswered requests periodically: if the platform kills the node, the last such line
     * states how many it cut off.
     */
    private void logUnanswered() {
        LogEvent.of(
                        "still_owed",
                        "stopping: "
                                + steps.unanswered()
                                + " requests are still unanswered, "
                                + steps.clientConnections()
                                + " client connections open")
                .with("count", steps.unanswered())
                .with("client_connections", steps.clientConnections())
                .log(LOG, Level.INFO);
    }
}
