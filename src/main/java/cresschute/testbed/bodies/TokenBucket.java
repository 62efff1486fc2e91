package cresschute.testbed.bodies;

/**
 * A line's speed: bytes come free at an even rate, and no more than a burst of them waits unused.
 * Pure, times in nanoseconds; owned by one thread.
 */
final class TokenBucket {

    private static final double NS_A_S = 1e9;

    private final double bytesAns;
    private final double burst;
    private double free;
    private long atNs;

    /** A full bucket; a rate of 0 is no bound. */
    TokenBucket(long bytesAS, long burst, long nowNs) {
        this.bytesAns = bytesAS / NS_A_S;
        this.burst = burst;
        this.free = burst;
        this.atNs = nowNs;
    }

    /** Takes as many of these bytes as are free, at the least none. */
    long take(long wanted, long nowNs) {
        if (bytesAns == 0) {
            return wanted;
        }
        free = Math.min(burst, free + (nowNs - atNs) * bytesAns);
        atNs = nowNs;
        final long taken = Math.min(wanted, (long) free);
        free -= taken;
        return taken;
    }

    /** How long after the last taking there are so many free, or a whole burst if that is less. */
    long untilFreeNs(long wanted) {
        return bytesAns == 0
                ? 0
                : (long) Math.ceil(Math.max(0, Math.min(wanted, burst) - free) / bytesAns);
    }
}
