package cresschute.peers;

/**
 * A budget of bytes that fills evenly and holds one second's worth at most. It begins empty: up to
 * any time no more than the rate times the time passed is taken, and within any time no more than
 * that and one second's worth.
 */
final class TokenBucket {

    private static final long US_PER_S = 1_000_000;

    private final long bytesPerS;

    /** Bytes times microseconds per second, so that no part of a byte is lost. */
    private long held;

    private long filledUs;

    TokenBucket(long bytesPerS, long nowUs) {
        this.bytesPerS = bytesPerS;
        this.filledUs = nowUs;
    }

    /** Bytes that may go out now. */
    long available(long nowUs) {
        final long passedUs = Math.min(US_PER_S, Math.max(0, nowUs - filledUs));
        held = Math.min(bytesPerS * US_PER_S, held + bytesPerS * passedUs);
        filledUs = Math.max(filledUs, nowUs);
        return held / US_PER_S;
    }

    /** Takes bytes of those available. */
    void take(long bytes) {
        held -= bytes * US_PER_S;
    }
}
