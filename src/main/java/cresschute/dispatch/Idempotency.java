package cresschute.dispatch;

/** What a repeat of a request may do. */
public enum Idempotency {
    SAFE,
    KEYED,
    UNSAFE
}
