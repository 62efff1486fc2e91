package cresschute.settings.script;

/**
 * Limits of one run of a script. Every run ends within them, and the error of a run that meets one
 * names it.
 *
 * @param scriptChars characters of the script itself
 * @param steps expressions and statements evaluated, and elements that an operation walks over
 * @param cells memory that is allocated over the whole run, freed or not: one cell an element of a
 *     list, a dict or a tuple, and one for every 8 characters of a text
 * @param calls functions of the script in progress at a time
 * @param nesting values within values that an operation walks down
 */
public record Bounds(int scriptChars, long steps, long cells, int calls, int nesting) {

    /** Sufficient for a site of some thousand workers. */
    public static final Bounds DEFAULT = new Bounds(256 * 1024, 1_000_000, 1_000_000, 32, 64);
}
