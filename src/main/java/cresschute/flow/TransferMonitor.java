package cresschute.flow;

/**
 * Detects a peer that sends or receives a body too slowly: it transferred nothing for the stall
 * timeout, or less than the minimum rate over a period of that length. Only active time counts, in
 * which the transfer depends on this peer ({@link #setActive}): a sender without credit, or a
 * receiver to which no data is being sent, waits for others.
 *
 * <p>Pure: the clock is passed in, microseconds. Not thread-safe: owned by one thread.
 */
public final class TransferMonitor {

    private static final double US_PER_S = 1e6;

    private final double minBytesPerUs;
    private final long stallTimeoutUs;
    private boolean active;
    private long countedUntilUs;

    /** Active time since the rate was last checked; {@link #bytes} were transferred in it. */
    private long activeUs;

    private long bytes;

    /** Active time since the last byte. */
    private long stalledUs;

    /**
     * Creates a monitor of a transfer that does not depend on the peer yet.
     *
     * @param minBytesPerS minimum rate, bytes per second
     * @param stallTimeoutUs longest active time without a byte, and the period over which the rate
     *     is measured, microseconds
     */
    public TransferMonitor(long minBytesPerS, long stallTimeoutUs, long nowUs) {
        this.minBytesPerUs = minBytesPerS / US_PER_S;
        this.stallTimeoutUs = stallTimeoutUs;
        this.countedUntilUs = nowUs;
    }

    /** Sets whether the transfer depends on this peer from now on. */
    public void setActive(boolean nowActive, long nowUs) {
        countTime(nowUs);
        active = nowActive;
    }

    /** Records that bytes were transferred. */
    public void transferred(long count, long nowUs) {
        countTime(nowUs);
        if (count > 0) {
            bytes += count;
            stalledUs = 0;
        }
    }

    /** Whether the peer is too slow; must be called several times within each stall timeout. */
    public boolean isTooSlow(long nowUs) {
        countTime(nowUs);
        if (stalledUs > stallTimeoutUs) {
            return true;
        }
        if (activeUs < stallTimeoutUs) {
            return false;
        }
        final boolean belowMinRate = bytes < minBytesPerUs * activeUs;
        activeUs = 0;
        bytes = 0;
        return belowMinRate;
    }

    private void countTime(long nowUs) {
        final long passedUs = Math.max(0, nowUs - countedUntilUs);
        countedUntilUs = nowUs;
        if (active) {
            activeUs += passedUs;
            stalledUs += passedUs;
        }
    }
}
