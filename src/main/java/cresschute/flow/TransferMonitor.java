package cresschute.flow;

/**
 * Whether one side of a body moves at all, judged by progress and only while it is that side's
 * turn: a sender without credit, or a receiver to whom nothing is under way, waits for somebody
 * else.
 *
 * <p>A side is too slow once it has moved nothing for the longest stall, or less than the least
 * rate over a span of the same length; both in time that was its own. Pure, times in microseconds;
 * owned by one thread.
 */
public final class TransferMonitor {

    private static final double US_A_S = 1e6;

    private final double minBytesAUs;
    private final long stallUs;
    private boolean mine;
    private long seenUs;
    private long ownUs;
    private long stillUs;
    private long bytes;

    /** A side whose turn it is not yet. */
    public TransferMonitor(long minBytesAs, long stallUs, long nowUs) {
        this.minBytesAUs = minBytesAs / US_A_S;
        this.stallUs = stallUs;
        this.seenUs = nowUs;
    }

    /** From now on it is, or is not, this side's turn. */
    public void setActive(boolean nowMine, long nowUs) {
        count(nowUs);
        mine = nowMine;
    }

    /** So many bytes went by. */
    public void transferred(long count, long nowUs) {
        count(nowUs);
        if (count > 0) {
            bytes += count;
            stillUs = 0;
        }
    }

    /** Whether it is to be given up. Asked at least a few times in the longest stall. */
    public boolean isTooSlow(long nowUs) {
        count(nowUs);
        if (stillUs > stallUs) {
            return true;
        }
        if (ownUs < stallUs) {
            return false;
        }
        final boolean slow = bytes < minBytesAUs * ownUs;
        ownUs = 0;
        bytes = 0;
        return slow;
    }

    private void count(long nowUs) {
        final long spentUs = Math.max(0, nowUs - seenUs);
        seenUs = nowUs;
        if (mine) {
            ownUs += spentUs;
            stillUs += spentUs;
        }
    }
}
