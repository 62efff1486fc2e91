package cresschute.node;

/**
 * Thrown when a node cannot start. The message is a single line that names the address, file or
 * folder that caused it.
 */
public final class NodeStartException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message one line that names the unusable resource and the reason
     * @param cause the underlying exception
     */
    NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
