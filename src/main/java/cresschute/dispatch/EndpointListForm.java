package cresschute.dispatch;

/** What a watch event of the endpoint list holds. */
public enum EndpointListForm {
    /** The entries that changed; all others stand. */
    CHANGES,
    /** All entries, from discovery. */
    FULL,
    /** All entries, as cached from an earlier run or list. */
    CACHED,
    /** None: a watch or poll failed, and the list stands. */
    FAILED
}
