package cresschute.node.http;

import cresschute.node.NodeTimeouts;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The pauses before the watch of a pushed endpoint list is opened again. Pure: the random generator
 * is passed in, and the caller owns the timer. Used by one thread.
 *
 * <p>The pause doubles with each failure from {@value #FIRST_PAUSE_MS} ms up to {@value
 * #MAX_PAUSE_MS} ms, with a jitter of up to half of it. A change of a pushed list counts as
 * notified even while no watch is open, so no pause is longer than {@value #GRACE_FRACTION} of a
 * drain's grace. The rest is for the connection, the answer and delays of the event loop.
 */
final class ReopenBackoff {

    /** The longest pause after the first failure, ms. */
    static final long FIRST_PAUSE_MS = 20;

    /** The longest pause after any failure, ms. */
    static final long MAX_PAUSE_MS = 150;

    /** The longest pause as a fraction of a drain's grace. */
    static final double GRACE_FRACTION = 0.375;

    /** The longest pause under a grace of next to nothing, so that calls keep a distance, ms. */
    static final long MIN_LONGEST_PAUSE_MS = 10;

    private final RandomGenerator random;
    private long maxPauseMs;
    private long limitMs = FIRST_PAUSE_MS;

    /** Creates a backoff without failures, for the usual grace. */
    ReopenBackoff(RandomGenerator random) {
        this.random = random;
        setDrainGraceUs(NodeTimeouts.DEFAULT_DRAIN_GRACE_US);
    }

    /** Sets a drain's grace, us; at least 0. It limits the pauses from now on. */
    void setDrainGraceUs(long graceUs) {
        final long fractionMs = (long) (GRACE_FRACTION * TimeUnit.MICROSECONDS.toMillis(graceUs));
        maxPauseMs = Math.max(MIN_LONGEST_PAUSE_MS, Math.min(MAX_PAUSE_MS, fractionMs));
    }

    /** Records a failure and returns the pause before the next watch, ms. */
    long nextPauseMs() {
        final long longestMs = Math.min(maxPauseMs, limitMs);
        limitMs = Math.min(MAX_PAUSE_MS, 2 * limitMs);
        final long shortestMs = longestMs / 2;
        return shortestMs + random.nextLong(longestMs - shortestMs + 1);
    }

    /** Resets the pause after a response. */
    void reset() {
        limitMs = FIRST_PAUSE_MS;
    }
}
