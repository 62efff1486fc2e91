package cresschute.peers;

/**
 * A token bucket that limits a rate in bytes. It refills at the constant rate and holds at most the
 * bytes of one second. It starts empty, so that the bytes taken since its creation never exceed the
 * rate times the elapsed time; within any other period they exceed it by at most the bytes of one
 * second. Used by one thread.
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
     * @param nowUs microseconds of a clock; a time before the latest one adds nothing
     */
    TokenBucket(long bytesPerS, long nowUs) {
        this.bytesPerS = bytesPerS;
        this.filledUs = nowUs;
    }

    /** Bytes that may be taken now; negative after more bytes were taken than available. */
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
