package cresschute.node;

import cresschute.dispatch.LoadReport;
import java.util.OptionalInt;

/**
 * Knowledge of workers' load that makes load queries unnecessary. The request lifecycle notifies it
 * of attempts, endpoint lists and load reports, and consults it before each load query. Workers are
 * identified by name. All calls are on the event loop.
 */
interface LoadTracker {

    /** Knows nothing, so that every load query is sent. */
    LoadTracker NONE = new LoadTracker() {};

    /** The endpoint list contains a worker, perhaps as before. */
    default void listed(String worker) {}

    /** An attempt at a worker started. */
    default void started(String worker) {}

    /** An attempt at a worker ended, once for each that started. */
    default void ended(String worker) {}

    /** A worker reported its load, or {@link LoadReport#NONE}. */
    default void reported(String worker, LoadReport report) {}

    /**
     * Requests that all dispatchers together have in flight at a worker; empty where its load has
     * to be queried.
     */
    default OptionalInt outstanding(String worker) {
        return OptionalInt.empty();
    }
}
