package cresschute.node.http;

import java.util.random.RandomGenerator;

/**
 * The pauses before the watch of a pushed endpoint list is opened again. Pure: the random generator
 * is passed in, and the caller owns the timer. Used by one thread.
 *
 * <p>The pause doubles with each failure from {@value #FIRST_PAUSE_MS} ms up to {@value
 * #MAX_PAUSE_MS} ms, with a jitter of up to half of it. A change of a pushed list counts as
 * notified even while no watch is open, so the longest pause leaves most of a drain's grace, which
 * is usually 400 ms, for the connection, the answer and delays of the event loop.
 */
final class ReopenBackoff {

    /** The longest pause after the first failure, ms. */
    static final long FIRST_PAUSE_MS = 20;

    /** The longest pause after any failure, ms. */
    static final long MAX_PAUSE_MS = 150;

    private final RandomGenerator random;
    private long limitMs = FIRST_PAUSE_MS;

    /** Creates a backoff without failures. */
    ReopenBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Records a failure and returns the pause before the next watch, ms. */
    long nextPauseMs() {
        final long longestMs = limitMs;
        limitMs = Math.min(MAX_PAUSE_MS, 2 * limitMs);
        final long shortestMs = longestMs / 2;
        return shortestMs + random.nextLong(longestMs - shortestMs + 1);
    }

    /** Resets the pause after a response. */
    void reset() {
        limitMs = FIRST_PAUSE_MS;
    }
}
