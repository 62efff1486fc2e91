package cresschute.flow;

/**
 * Detects a peer that sends or takes a body too slowly: it transferred nothing for the stall
 * timeout, or less than the minimum rate over a span of that length. Only time counts during which
 * the transfer depended on this peer ({@link #setActive}): a sender without credit, or a receiver
 * with nothing under way, waits for others.
 *
 * <p>Pure: the clock is passed in, microseconds. Not thread-safe: owned by one thread.
 */
public final class TransferMonitor {

    private static final double US_PER_S = 1e6;

    private final double minBytesPerUs;
    private final long stallTimeoutUs;
    private boolean active;
    private long countedUntilUs;

    /** Active time and bytes since the rate was last checked. */
    private long activeUs;

    private long bytes;

    /** Active time since the last byte. */
    private long stalledUs;

    /**
     * Creates a monitor of a transfer that does not depend on the peer yet.
     *
     * @param minBytesPerS minimum rate, bytes per second
     * @param stallTimeoutUs longest active time without a byte, and the span over which the rate is
     *     measured, microseconds
     */
    public TransferMonitor(long minBytesPerS, long stallTimeoutUs, long nowUs) {
        this.minBytesPerUs = minBytesPerS / US_PER_S;
        this.stallTimeoutUs = stallTimeoutUs;
        this.countedUntilUs = nowUs;
    }

    /** From now on the transfer depends on this peer, or does not. */
    public void setActive(boolean nowActive, long nowUs) {
        countTime(nowUs);
        active = nowActive;
    }

    /** Bytes were transferred. */
    public void transferred(long count, long nowUs) {
        countTime(nowUs);
        if (count > 0) {
            bytes += count;
            stalledUs = 0;
        }
    }

    /** Whether the peer is too slow; to be called several times within the stall timeout. */
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
