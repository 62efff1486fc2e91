package cresschute.control;

/** A file is not what was written; the message says in which way. */
public final class DamagedFileException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Has neither a cause nor a stack trace. */
    DamagedFileException(String message) {
        super(message, null, false, false);
    }
}
