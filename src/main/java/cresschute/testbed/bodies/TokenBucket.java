package cresschute.testbed.bodies;

/**
 * A line's speed: bytes come free at an even rate, and no more than a burst of them waits unused.
 * Pure, times in nanoseconds; owned by one thread.
 */
final class TokenBucket {

    private static final double NS_PER_S = 1e9;

    private final double bytesPerNs;
    private final double burst;
    private double available;
    private long atNs;

    /** A full bucket; a rate of 0 is no bound. */
    TokenBucket(long bytesPerS, long burst, long nowNs) {
        this.bytesPerNs = bytesPerS / NS_PER_S;
        this.burst = burst;
        this.available = burst;
        this.atNs = nowNs;
    }

    /** Takes as many of these bytes as are free, at the least none. */
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

    /** How long after the last taking there are so many free, or a whole burst if that is less. */
    long nsUntilAvailable(long wanted) {
        return bytesPerNs == 0
                ? 0
                : (long) Math.ceil(Math.max(0, Math.min(wanted, burst) - available) / bytesPerNs);
    }
}
