package cresschute.dispatch;

/** Scope of deduplication: the workers that drop a duplicate of a keyed request. */
public enum DeduplicationScope {
    /** All workers. */
    ALL,
    /** The workers of one zone. */
    ZONE,
    /** The workers of one cell. */
    CELL
}
