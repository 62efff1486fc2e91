package cresschute.settings.script;

/**
 * Limits of one run of a script. A run that exceeds a limit ends with an error that names the
 * limit.
 *
 * @param scriptChars maximum length of the script, characters
 * @param steps maximum number of evaluated expressions and statements, and of elements that
 *     operations iterate over
 * @param cells maximum memory allocated over the whole run, freed or not, in cells: one cell per
 *     element of a list, dict or tuple, and one per 8 characters of a text
 * @param calls maximum depth of nested calls of script functions
 * @param nesting maximum nesting of values that an operation descends into
 */
public record Bounds(int scriptChars, long steps, long cells, int calls, int nesting) {

    /** Default limits, sufficient for a site of some thousand workers. */
    public static final Bounds DEFAULT = new Bounds(256 * 1024, 1_000_000, 1_000_000, 32, 64);
}
