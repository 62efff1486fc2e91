package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.List;

/**
 * Observes requests, attempts and the endpoint list, and may apply drains to the list before the
 * dispatcher receives it. It never selects a worker, answers a request or sends an attempt. All
 * calls are on the event loop; all times are microseconds of the dispatcher's clock.
 */
interface RequestListener {

    /** Observes nothing; for a node without operators' services. */
    RequestListener NONE = new RequestListener() {};

    /** How a request ended. */
    enum Answer {
        /** With a worker's result. */
        SERVED("served"),
        /** With a local reply; a retry does no harm. */
        REJECTED("refused"),
        /** As failed; it may have run. */
        FAILED("failed"),
        /** Without an answer, as its client left. */
        LEFT("left");

        private final String wireName;

        Answer(String wireName) {
            this.wireName = wireName;
        }

        /** The word for it in the log. */
        public String wireName() {
            return wireName;
        }
    }

    /** Observes one attempt. Called on the event loop. */
    interface AttemptObserver {

        /** Observes nothing. */
        AttemptObserver NONE = new AttemptObserver() {};

        /** The worker has reported the job's start or progress. */
        default void progressed(long nowUs) {}

        /** The attempt has ended; called once. */
        default void ended(long nowUs, Outcome outcome, LoadReport report) {}

        /**
         * Returns how long the job has run.
         *
         * @return microseconds since the job's start, or since the attempt's start if none was
         *     reported
         */
        default long ranUs(long nowUs) {
            return 0;
        }
    }

    /**
     * Returns the state of a worker to report to the dispatcher.
     *
     * @param worker discovery's name of the worker
     * @param listed its state as listed
     * @return the same state, or one in which it takes less work; never more
     */
    default WorkerState effectiveState(String worker, WorkerState listed) {
        return listed;
    }

    /**
     * The registry has applied a list or a change.
     *
     * @param workers the changed workers, or all workers for a full list; may be empty
     */
    default void endpointListChanged(long nowUs, List<Worker> workers) {}

    /** A request was submitted. */
    default void requestSubmitted(long nowUs, int requestClass) {}

    /**
     * A request was answered, or its client left; called once for each.
     *
     * @param answer how it ended
     * @param attempts how many attempts it had
     * @param waitedUs how long its client waited
     * @param ranUs how long the job that served it ran, or 0
     */
    default void requestEnded(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {}

    /**
     * An attempt starts.
     *
     * @return the observer of the attempt
     */
    default AttemptObserver attemptStarted(long nowUs, int worker, int requestClass) {
        return AttemptObserver.NONE;
    }

    /** A load query has ended. */
    default void loadReported(long nowUs, int worker, LoadReport report) {}
}
