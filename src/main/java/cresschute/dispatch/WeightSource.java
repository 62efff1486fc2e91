package cresschute.dispatch;

/** Meaning of a worker's weight in the endpoint list. */
public enum WeightSource {
    /** The weight has no meaning. */
    NONE,
    /** The worker's nominal size. */
    NOMINAL,
    /** A rough estimate of the worker's size. */
    ROUGH,
    /**
     * The worker's size divided by one plus its requests in flight per core, when the list was
     * made.
     */
    LIVE
}
