package cresschute.testbed.bodies;

/**
 * A token bucket that limits the speed of a connection: tokens, one per byte, accrue at a constant
 * rate up to a burst. Pure; times are in nanoseconds; owned by one thread.
 */
final class TokenBucket {

    private static final double NS_PER_S = 1e9;

    private final double bytesPerNs;
    private final double burst;
    private double available;
    private long atNs;

    /** Creates a full bucket; a rate of 0 is unlimited. */
    TokenBucket(long bytesPerS, long burst, long nowNs) {
        this.bytesPerNs = bytesPerS / NS_PER_S;
        this.burst = burst;
        this.available = burst;
        this.atNs = nowNs;
    }

    /** Takes up to {@code wanted} tokens, as many as are available, possibly none. */
    long take(long wanted, long nowNs) {
        if (bytesPerNs == 0) {
            return wanted;
        }
        available = Math.min(burst, available + (nowNs - atNs) * bytesPerNs);
        atNs = nowNs;
        final long taken = Math.min(wanted, (long) available);
        available -= taken;
        return taken;
    }

    /**
     * The time after the last {@code take} until this many tokens, or a full burst if that is less,
     * are available, ns.
     */
    long nsUntilAvailable(long wanted) {
        return bytesPerNs == 0
                ? 0
                : (long) Math.ceil(Math.max(0, Math.min(wanted, burst) - available) / bytesPerNs);
    }
}
