package cresschute.dispatch;

/** What a duplicate of a request may do. */
public enum Idempotency {
    /** No harm: the request may run any number of times. */
    SAFE,
    /** No harm where workers know its idempotency key and the deduplication window lasts. */
    KEYED,
    /** Harm: the request may run once at most. */
    UNSAFE
}
