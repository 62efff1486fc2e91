package cresschute.dispatch;

/** How an attempt ended; {@code UNUSABLE}: no fault of the worker, the request is none it can use. */
public enum Outcome {
    SERVED, ERROR, FULL, TIMED_OUT, CONNECT_FAILED, BROKEN, CANCELLED, NOT_SENT, UNUSABLE
}
