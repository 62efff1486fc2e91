package cresschute.testbed.capacity;

/** A size that no experiment can have; the message names the option. */
public final class UnusablePlanException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The message is one line. */
    public UnusablePlanException(String message) {
        super(message);
    }
}
