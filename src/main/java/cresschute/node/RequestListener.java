package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.List;

/**
 * Follows requests, attempts and the endpoint list, and may lay drains over the list before the
 * dispatcher is notified of it. It never selects a worker, answers or sends. All calls are on the
 * event loop; all times are microseconds of the dispatcher's clock.
 */
interface RequestListener {

    /** Follows nothing: for a node without operators' services. */
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

    /** Follows one attempt. Called on the event loop. */
    interface AttemptObserver {

        /** Follows nothing. */
        AttemptObserver NONE = new AttemptObserver() {};

        /** The worker has reported the job's start or progress. */
        default void progressed(long nowUs) {}

        /** The attempt has ended; called once. */
        default void ended(long nowUs, Outcome outcome, LoadReport report) {}

        /**
         * How long the job has run.
         *
         * @return microseconds since its start, or since the attempt's if no start was reported
         */
        default long ranUs(long nowUs) {
            return 0;
        }
    }

    /**
     * The state of a worker that the dispatcher is notified of.
     *
     * @param worker discovery's name of the worker
     * @param listed its state as listed
     * @return the same state, or one in which it takes less work; never more
     */
    default WorkerState effectiveState(String worker, WorkerState listed) {
        return listed;
    }

    /**
     * The registry has taken in a list or a change.
     *
     * @param workers the workers that it states; all of them for a full list; perhaps none
     */
    default void endpointListChanged(long nowUs, List<Worker> workers) {}

    /** A request was taken. */
    default void requestSubmitted(long nowUs, int requestClass) {}

    /**
     * A request was answered, or its client left; called once for each.
     *
     * @param answer how it ended
     * @param attempts how many attempts it had
     * @param waitedUs how long its client waited
     * @param ranUs how long the job ran that served it, or 0
     */
    default void requestEnded(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {}

    /**
     * An attempt starts.
     *
     * @return follows it
     */
    default AttemptObserver attemptStarted(long nowUs, int worker, int requestClass) {
        return AttemptObserver.NONE;
    }

    /** A load query has ended. */
    default void loadReported(long nowUs, int worker, LoadReport report) {}
}
