package cresschute.node;

import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown of a node, at SIGTERM: it is no longer ready, accepts for a while longer
 * (not where the platform passed its listener on: the other process accepts there), answers all
 * that was taken, and ends once no client has a connection. Owns the state of the shutdown and the
 * future of its end. Lives from {@link #begin} to that future; call from the event loop, save where
 * stated.
 */
final class GracefulShutdown {

    /** How long after the beginning clients may still connect and send, milliseconds. */
    private static final long ACCEPT_GRACE_MS = 550;

    /**
     * The platform may kill a stopping node after its longest deadline, of which this much counts
     * at the most, and {@link #KILL_GRACE_US} more; microseconds.
     */
    private static final long MAX_DEADLINE_US = 3_000_000;

    private static final long KILL_GRACE_US = 700_000;

    /** So long before a kill all that is owed is answered, microseconds. */
    private static final long ANSWER_BEFORE_KILL_US = 250_000;

    /** How often what is still owed is logged, milliseconds. */
    private static final long LOG_INTERVAL_MS = 500;

    /** How often the end is checked for, milliseconds. */
    private static final long CHECK_INTERVAL_MS = 20;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final ScheduledExecutorService loop;
    private final Steps steps;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean begun;
    private long nextLogMs;

    /** What a shutdown asks of the node, and does to it. Called on the event loop. */
    interface Steps {

        /** Requests that are owed an answer. */
        int unanswered();

        /** Connections from clients that are open. */
        int clientConnections();

        /**
         * The node says that it is not ready, and that it is stopping. Where its listener was
         * passed on by the platform, it also accepts no more connections from now on.
         */
        void becomeNotReady();

        /**
         * The longest deadline of any request class, from which the time of a kill follows.
         *
         * @return microseconds, or empty where nobody kills a node that takes its time
         */
        OptionalLong longestDeadlineUs();

        /** Answers all that is owed after so many microseconds. */
        void answerAllAfter(long delayUs);

        /** Accepts no more connections, and closes those that are idle. */
        void stopAccepting();

        /**
         * Leaves the group of peers.
         *
         * @return whether that is done
         */
        boolean leavePeers();

        /** Logs the status a last time. */
        void logStatus();

        /**
         * Closes all that is open, and the event loop with it.
         *
         * @param closed completed once nothing is being written any more
         */
        void close(CompletableFuture<Void> closed);
    }

    /** A shutdown that has not begun. */
    GracefulShutdown(ScheduledExecutorService loop, Steps steps) {
        this.loop = loop;
        this.steps = steps;
    }

    /** Completed once all that was taken is answered and closed. Any thread. */
    CompletableFuture<Void> stopped() {
        return stopped;
    }

    /** Begins; has no effect after the first call. */
    void begin() {
        if (begun) {
            return;
        }
        begun = true;
        LogEvent.of("stopping", "stopping: " + steps.unanswered() + " requests are owed an answer")
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
                        "no longer accepting: "
                                + steps.unanswered()
                                + " requests are owed an answer")
                .with("count", steps.unanswered())
                .log(LOG, Level.INFO);
        loop.scheduleWithFixedDelay(this::closeIfDone, 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Done once no client has a connection: each is closed when its last answer is written. */
    private void closeIfDone() {
        final long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (steps.clientConnections() > 0 && nowMs >= nextLogMs) {
            nextLogMs = nowMs + LOG_INTERVAL_MS;
            logUnanswered();
        }
        if (steps.clientConnections() == 0 && !stopped.isDone() && steps.leavePeers()) {
            steps.logStatus();
            LogEvent.of("stopped", "stopped: everything taken is answered").log(LOG, Level.INFO);
            steps.close(stopped);
        }
    }

    /** Logged while there is time: the last such line before a kill states what it cut off. */
    private void logUnanswered() {
        LogEvent.of(
                        "still_owed",
                        "stopping: "
                                + steps.unanswered()
                                + " requests are still owed an answer, "
                                + steps.clientConnections()
                                + " client connections open")
                .with("count", steps.unanswered())
                .with("client_connections", steps.clientConnections())
                .log(LOG, Level.INFO);
    }
}
