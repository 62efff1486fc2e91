package cresschute.dispatch;

/** Contents of a watch event of the endpoint list. */
public enum EndpointListForm {
    /** The entries that changed; all others stay as they are. */
    CHANGES,
    /** All entries, from discovery. */
    FULL,
    /** All entries, cached from an earlier run or list. */
    CACHED,
    /** No entries: a watch or poll failed, and the list stays as it is. */
    FAILED
}
