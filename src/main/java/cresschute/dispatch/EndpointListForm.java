package cresschute.dispatch;

/**
 * What a piece of list news holds; {@code FAILED} means a watch or attempt failed and the list
 * stands.
 */
public enum EndpointListForm {
    CHANGES,
    FULL,
    CACHED,
    FAILED
}
