package cresschute.settings.script;

/**
 * Counts the steps and the memory of one run of a script, and throws at the first bound that is
 * exceeded.
 */
final class ResourceLimiter {

    private static final int CHARS_PER_CELL = 8;

    private final Bounds bounds;
    private long steps;
    private long cells;

    ResourceLimiter(Bounds bounds) {
        this.bounds = bounds;
    }

    Bounds bounds() {
        return bounds;
    }

    void countStep(Position at) throws ScriptError {
        countSteps(1, at);
    }

    void countSteps(long count, Position at) throws ScriptError {
        steps += count;
        if (steps > bounds.steps()) {
            throw new ScriptError(
                    at,
                    "the script takes too long; at most " + bounds.steps() + " steps are allowed");
        }
    }

    /** Called before the memory is taken, so that what is too large is never built. */
    void allocateCells(long count, Position at) throws ScriptError {
        // Subtracts, as a sum could overflow: a single count may be near the largest long.
        if (count > bounds.cells() - cells) {
            throw new ScriptError(
                    at,
                    "the script takes too much memory; at most "
                            + bounds.cells()
                            + " elements are allowed, 8 characters of text counting as one");
        }
        cells += count;
    }

    void allocateText(long chars, Position at) throws ScriptError {
        allocateCells(1 + chars / CHARS_PER_CELL, at);
    }

    void checkNesting(int depth, Position at) throws ScriptError {
        if (depth > bounds.nesting()) {
            throw new ScriptError(
                    at,
                    "values are nested too deeply; at most "
                            + bounds.nesting()
                            + " levels are allowed");
        }
    }
}
