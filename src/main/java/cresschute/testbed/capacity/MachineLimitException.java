package cresschute.testbed.capacity;

/** The machine lacks what an experiment needs; the message names the limit. */
public final class MachineLimitException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The message is one line. */
    public MachineLimitException(String message) {
        super(message);
    }
}
