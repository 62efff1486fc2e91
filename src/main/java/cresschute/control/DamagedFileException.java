package cresschute.control;

/**
 * Thrown when the content of a stored file is torn, changed or of another kind. The message states
 * the mismatch that was found.
 */
public final class DamagedFileException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause or a stack trace. */
    DamagedFileException(String message) {
        super(message, null, false, false);
    }
}
