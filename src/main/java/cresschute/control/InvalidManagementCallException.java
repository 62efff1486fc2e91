package cresschute.control;

/**
 * Thrown when a line is not a valid management call. The message states the reason and is sent to
 * the caller.
 */
public final class InvalidManagementCallException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause or a stack trace. */
    InvalidManagementCallException(String message) {
        super(message, null, false, false);
    }
}
