package cresschute.node;

import cresschute.dispatch.LoadReport;
import java.util.OptionalInt;

/**
 * What is known of workers' load without asking them. The core notifies it of attempts, lists and
 * reports, and asks it before each probe. All calls are on the loop; workers go by their names.
 */
interface LoadKnowledge {

    /** Nothing is known: every probe goes out. */
    LoadKnowledge NONE = new LoadKnowledge() {};

    /** The list names a worker, perhaps again. */
    default void listed(String worker) {}

    /** An attempt at a worker began. */
    default void started(String worker) {}

    /** An attempt at a worker ended, once for each that began. */
    default void ended(String worker) {}

    /** A worker reported its load, or {@link LoadReport#NONE}. */
    default void reported(String worker, LoadReport report) {}

    /**
     * Requests that all dispatchers together have out at a worker, or empty where it has to be
     * asked.
     */
    default OptionalInt outstanding(String worker) {
        return OptionalInt.empty();
    }
}
