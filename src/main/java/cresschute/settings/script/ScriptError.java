package cresschute.settings.script;

/**
 * An error in a script, with its position. The message says what is allowed unless that is obvious.
 */
public final class ScriptError extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Position position;

    /** Creates an error at a position. */
    public ScriptError(Position position, String message) {
        super(message, null, false, false);
        this.position = position;
    }

    /** The position of the error. */
    public Position position() {
        return position;
    }
}
