package cresschute.testbed.capacity;

/** The machine lacks a resource that an experiment needs; the message names the limit. */
public final class MachineLimitException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates it with a message of one line. */
    public MachineLimitException(String message) {
        super(message);
    }
}
