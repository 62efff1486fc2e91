package cresschute.dispatch;

/** The workers among which a duplicate of a keyed request is dropped. */
public enum DeduplicationScope {
    /** All workers. */
    ALL,
    /** The workers of one zone. */
    ZONE,
    /** The workers of one cell. */
    CELL
}
