package cresschute.testbed.capacity;

/** A size is out of the range that an experiment supports; the message names the option. */
public final class UnusablePlanException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates it with a message of one line. */
    public UnusablePlanException(String message) {
        super(message);
    }
}
