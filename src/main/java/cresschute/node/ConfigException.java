package cresschute.node;

/** The configuration or the environment cannot be used; the message is one plain line. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * A configuration that cannot be used.
     *
     * @param message one line that names what is wrong
     */
    public ConfigException(String message) {
        super(message);
    }
}
