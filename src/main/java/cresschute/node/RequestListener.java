package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.List;

/**
 * Hears what passes through the core, and may lay drains over the list before the module hears it.
 * It never chooses, answers or sends. All calls are on the loop, at the loop's clock in
 * microseconds.
 */
interface RequestListener {

    /** Nobody: what a node has that no console can connect to. */
    RequestListener NONE = new RequestListener() {};

    /** How a request was answered. */
    enum Answer {
        SERVED("served"),
        REJECTED("refused"),
        FAILED("failed"),
        LEFT("left");

        private final String wireName;

        Answer(String wireName) {
            this.wireName = wireName;
        }

        /** The word in the log. */
        public String wireName() {
            return wireName;
        }
    }

    /** What becomes of one attempt. */
    interface AttemptObserver {

        /** Of no interest. */
        AttemptObserver NONE = new AttemptObserver() {};

        /** Its start or its progress was told. */
        default void progressed(long nowUs) {}

        /** Its end, once. */
        default void ended(long nowUs, Outcome outcome, LoadReport report) {}

        /** How long its job has run; from its send on where no start was told. */
        default long ranUs(long nowUs) {
            return 0;
        }
    }

    /** The state that the module is to hear of a worker; never a better one than the list's. */
    default WorkerState effectiveState(String worker, WorkerState listed) {
        return listed;
    }

    /**
     * The roster has taken in a list or a change, perhaps an empty one; these have been told anew
     * by it.
     */
    default void endpointListChanged(long nowUs, List<Worker> told) {}

    /** A request was taken. */
    default void requestTaken(long nowUs, int requestClass) {}

    /**
     * A request was answered or left, once.
     *
     * @param ranUs how long the job ran that served it, or 0
     */
    default void requestEnded(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {}

    /** An attempt goes out. */
    default AttemptObserver attemptStarted(long nowUs, int worker, int requestClass) {
        return AttemptObserver.NONE;
    }

    /** A probe came back. */
    default void loadReported(long nowUs, int worker, LoadReport report) {}
}
