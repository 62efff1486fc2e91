package cresschute.settings.script;

/**
 * What is wrong with a script, and where. Its message says what is allowed where that is not plain.
 */
public final class ScriptError extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Position position;

    /** An error at a place. */
    public ScriptError(Position position, String message) {
        super(message, null, false, false);
        this.position = position;
    }

    /** Where it is. */
    public Position position() {
        return position;
    }
}
