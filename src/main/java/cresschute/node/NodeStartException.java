package cresschute.node;

/** A node cannot start; the message is one plain line that names what it could not use. */
public final class NodeStartException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /**
     * A failed start.
     *
     * @param message what could not be used, and why
     * @param cause what was thrown
     */
    NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
