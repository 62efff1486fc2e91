package cresschute.settings.script;

/**
 * How much a script may take. Whatever it does, it ends within these, and an error names the one it
 * met.
 *
 * @param textChars characters of the script itself
 * @param steps expressions and statements evaluated, and elements that an operation walks over
 * @param cells memory that is allocated over the whole run, freed or not: one cell an element of a
 *     list, a dict or a tuple, and one for every 8 characters of a text
 * @param calls functions of the script that are under way at a time
 * @param nesting values within values that an operation walks down
 */
public record Bounds(int textChars, long steps, long cells, int calls, int nesting) {

    /** Room for a site of some thousand workers; met in well under a second on a small machine. */
    public static final Bounds USUAL = new Bounds(256 * 1024, 1_000_000, 1_000_000, 32, 64);
}
