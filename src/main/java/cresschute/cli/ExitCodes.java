package cresschute.cli;

/** Exit codes of the commands. */
final class ExitCodes {

    /** The command succeeded. */
    static final int DONE = 0;

    /** The command ran and failed. */
    static final int FAILED = 1;

    /** The command line, the environment or the settings cannot be used. */
    static final int UNUSABLE = 2;

    private ExitCodes() {}
}
