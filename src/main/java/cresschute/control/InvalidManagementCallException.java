package cresschute.control;

/** A line is no valid call; the message says why, for whoever wrote it. */
public final class InvalidManagementCallException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Has neither a cause nor a stack trace. */
    InvalidManagementCallException(String message) {
        super(message, null, false, false);
    }
}
