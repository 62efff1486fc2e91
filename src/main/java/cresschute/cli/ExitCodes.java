package cresschute.cli;

/** How a command ended. */
final class ExitCodes {

    /** All is well. */
    static final int DONE = 0;

    /** It ran, and failed. */
    static final int FAILED = 1;

    /** The command line, the environment or the settings cannot be used. */
    static final int UNUSABLE = 2;

    private ExitCodes() {}
}
