package cresschute.peers;

/**
 * A rate limit in bytes: a bucket that fills evenly and holds the bytes of one second at most. It
 * begins empty, so up to any time no more than the rate times the time passed is taken, and within
 * any span no more than that and the bytes of one second. Used by one thread.
 */
final class TokenBucket {

    private static final long US_PER_S = 1_000_000;

    private final long bytesPerS;

    /** Content in bytes times {@link #US_PER_S}, so that no fraction of a byte is lost. */
    private long scaledBytes;

    private long filledUs;

    /**
     * Creates an empty bucket.
     *
     * @param bytesPerS rate, and capacity of the bucket
     * @param nowUs microseconds of a clock that may stand still
     */
    TokenBucket(long bytesPerS, long nowUs) {
        this.bytesPerS = bytesPerS;
        this.filledUs = nowUs;
    }

    /** Bytes that may be taken now; negative after more than these were taken. */
    long available(long nowUs) {
        final long passedUs = Math.min(US_PER_S, Math.max(0, nowUs - filledUs));
        scaledBytes = Math.min(bytesPerS * US_PER_S, scaledBytes + bytesPerS * passedUs);
        filledUs = Math.max(filledUs, nowUs);
        return scaledBytes / US_PER_S;
    }

    /** Takes bytes out. */
    void take(long bytes) {
        scaledBytes -= bytes * US_PER_S;
    }
}
