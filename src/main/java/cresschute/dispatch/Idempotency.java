package cresschute.dispatch;

/** Effect of a duplicate of a request. */
public enum Idempotency {
    /** A duplicate does no harm: the request may run any number of times. */
    SAFE,
    /**
     * A duplicate does no harm at workers that know its idempotency key, within the deduplication
     * window.
     */
    KEYED,
    /** A duplicate does harm: the request may run once at most. */
    UNSAFE
}
