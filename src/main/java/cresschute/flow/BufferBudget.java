package cresschute.flow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The bytes that all bodies of a node may hold at a time. A body that is admitted owns a window
 * that nobody can take, so that none starves; what is left is lent beyond the windows, to those
 * that asked first, a piece at a time. What is given back goes first to whoever waits, in the order
 * of asking.
 *
 * <p>The less is free, the less each is lent, so that what is lent to bodies that stand still
 * leaves room for the windows of others: the dynamic thresholds of shared-memory switches
 * (Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998), with a share of the free
 * part as the threshold.
 *
 * <p>Pure: no clock, no I/O and no bytes, only their numbers. Its owner is one thread.
 */
public final class BufferBudget {

    private final long total;
    private final long window;
    private final long maxLent;
    private final long lendShare;
    private final long maxPerClient;
    private final Map<String, Long> windowsOfClients = new HashMap<>();
    private final Deque<Reservation> waiting = new ArrayDeque<>();
    private long inWindows;
    private long lent;

    /**
     * An empty budget.
     *
     * @param total bytes at a time, all bodies together
     * @param window bytes that a body owns while it is open
     * @param maxLent bytes that one body may hold beyond its window
     * @param lendShare it is lent no more than what is free over this, 1 or above
     * @param maxPerClient bytes of windows of one client's bodies together
     */
    public BufferBudget(long total, long window, long maxLent, long lendShare, long maxPerClient) {
        if (window <= 0
                || total < window
                || maxLent < 0
                || lendShare < 1
                || maxPerClient < window) {
            throw new IllegalArgumentException("a budget has room for one window at least");
        }
        this.total = total;
        this.window = window;
        this.maxLent = maxLent;
        this.lendShare = lendShare;
        this.maxPerClient = maxPerClient;
    }

    /** Why a body is not admitted. */
    public enum RejectionReason {
        BUDGET_EXHAUSTED,
        CLIENT_LIMIT_REACHED
    }

    /** Either an account or the reason why there is none. */
    public record Admission(Reservation reservation, RejectionReason rejection) {}

    /**
     * Opens an account for a body, if its window fits.
     *
     * @param onCredit told whenever credit that was asked for in vain has come; may ask again at
     *     once
     */
    public Admission reserve(String client, Runnable granted) {
        final long held = windowsOfClients.getOrDefault(client, 0L);
        if (held + window > maxPerClient) {
            return new Admission(null, RejectionReason.CLIENT_LIMIT_REACHED);
        }
        // Lent bytes are somebody's and come back by themselves; a window must be there from the
        // start.
        if (inWindows + lent + window > total) {
            return new Admission(null, RejectionReason.BUDGET_EXHAUSTED);
        }
        inWindows += window;
        windowsOfClients.put(client, held + window);
        return new Admission(new Reservation(client, granted), null);
    }

    /** Bytes that are owned or lent now; never more than the total. */
    public long inUse() {
        return inWindows + lent;
    }

    /** Bodies that asked for more than there was. */
    public int waiting() {
        return waiting.size();
    }

    private long lendable() {
        return Math.min(maxLent, (total - inUse()) / lendShare);
    }

    private void lendToWaiting() {
        // Each of those that wait now is served once at the most: one that asks again goes behind
        // the others.
        for (int left = waiting.size(); left > 0 && !waiting.isEmpty() && lendable() > 0; left--) {
            final Reservation next = waiting.pollFirst();
            if (next.lentHere() < lendable()) {
                next.queued = false;
                next.onCredit.run();
            } else {
                waiting.addLast(next);
            }
        }
    }

    /** What one body holds. */
    public final class Reservation {

        private final String client;
        private final Runnable onCredit;
        private long held;
        private boolean queued;
        private boolean closed;

        private Reservation(String client, Runnable granted) {
            this.client = client;
            this.onCredit = Objects.requireNonNull(granted);
        }

        private long lentHere() {
            return Math.max(0, held - window);
        }

        /**
         * Takes room for up to so many bytes and returns for how many there was. If there was none,
         * the body is told once there is.
         */
        public long acquire(long wanted) {
            if (closed || wanted <= 0) {
                return 0;
            }
            final long own = Math.max(0, window - held);
            final long borrowed = Math.max(0, Math.min(wanted - own, lendable() - lentHere()));
            final long taken = Math.min(wanted, own) + borrowed;
            held += taken;
            lent += borrowed;
            // Bytes of its own that it gives back wake it by itself; only lent ones are worth
            // queueing for.
            if (taken == 0 && lentHere() < maxLent && !queued) {
                queued = true;
                waiting.addLast(this);
            }
            return taken;
        }

        /** Gives room back: so many bytes are no longer held. */
        public void release(long bytes) {
            if (bytes < 0 || bytes > held) {
                throw new IllegalArgumentException("gives back " + bytes + " of " + held);
            }
            final long before = lentHere();
            held -= bytes;
            lent -= before - lentHere();
            lendToWaiting();
        }

        /** Bytes that it holds. */
        public long held() {
            return held;
        }

        /** Ends it: all that it holds, and its window, are free. Any number of times. */
        public void close() {
            if (closed) {
                return;
            }
            closed = true;
            waiting.remove(this);
            lent -= lentHere();
            held = 0;
            inWindows -= window;
            windowsOfClients.merge(
                    client, -window, (old, less) -> old + less == 0 ? null : old + less);
            lendToWaiting();
        }
    }
}
