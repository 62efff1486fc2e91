package cresschute.capacity;

/** The markers of a page do not match the tables; the message names the marker or table. */
public final class MarkerException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates it with a message that names the marker or table. */
    MarkerException(String message) {
        super(message);
    }
}
