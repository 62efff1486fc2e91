package cresschute.dispatch;

/** The workers among which a repeat of a keyed request is dropped. */
public enum RepeatScope {
    ALL, ZONE, CELL
}
