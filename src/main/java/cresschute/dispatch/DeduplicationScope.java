package cresschute.dispatch;

/** The workers among which a repeat of a keyed request is dropped. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
