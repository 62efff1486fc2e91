package cresschute.dispatch;

/** What a piece of list news holds; {@code FAILED} means a watch or fetch failed and the list stands. */
public enum ListForm {
    CHANGES, FULL, CACHED, FAILED
}
