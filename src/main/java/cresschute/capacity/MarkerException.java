package cresschute.capacity;

/** The markers of a page do not match the tables; the message names the table. */
public final class MarkerException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates it with a message that names the table. */
    MarkerException(String message) {
        super(message);
    }
}
