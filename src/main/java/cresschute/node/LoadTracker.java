package cresschute.node;

import cresschute.dispatch.LoadReport;
import java.util.OptionalInt;

/**
 * Tracks the load of workers to make load queries unnecessary. The request lifecycle notifies it of
 * attempts, endpoint lists and load reports, and consults it before each load query. Workers are
 * identified by name. All calls are on the event loop.
 */
interface LoadTracker {

    /** Tracks nothing, so that every load query is sent. */
    LoadTracker NONE = new LoadTracker() {};

    /** An endpoint list names a worker, which may be unchanged. */
    default void listed(String worker) {}

    /** An attempt at a worker started. */
    default void started(String worker) {}

    /** An attempt at a worker ended; called once for each attempt that started. */
    default void ended(String worker) {}

    /** A worker reported its load, or {@link LoadReport#NONE}. */
    default void reported(String worker, LoadReport report) {}

    /**
     * Returns how many requests all dispatchers together have in flight at a worker; empty if its
     * load must be queried.
     */
    default OptionalInt outstanding(String worker) {
        return OptionalInt.empty();
    }
}
