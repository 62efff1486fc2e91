package cresschute.settings.script;

/**
 * Counts the steps and the memory of one run of a script. Throws a {@link ScriptError} when the run
 * exceeds one of its {@link Bounds}.
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

    /**
     * Counts memory. Called before the memory is allocated, so that a value that is too large is
     * never built.
     */
    void allocateCells(long count, Position at) throws ScriptError {
        // Subtracts because a sum could overflow: a single count may be close to Long.MAX_VALUE.
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
