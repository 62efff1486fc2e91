package cresschute.node;

/**
 * Thrown when the configuration or the environment is invalid. The message is a single line for the
 * operator.
 */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message one line that names the invalid key or variable
     */
    public ConfigException(String message) {
        super(message);
    }
}
