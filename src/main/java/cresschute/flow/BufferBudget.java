package cresschute.flow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The byte budget that all buffered bodies of a node share. Each admitted body owns a window, which
 * no other body can use, so that no body starves. Bodies borrow the bytes outside of the windows on
 * demand, in the order of their requests; released bytes go first to the bodies that wait for
 * credit.
 *
 * <p>The fewer bytes are free, the fewer each body can borrow, so that stalled bodies leave space
 * for the windows of others. This is the dynamic threshold of shared-memory switches (Choudhury and
 * Hahne, IEEE/ACM Transactions on Networking 6(2), 1998), here a fraction of the free bytes.
 *
 * <p>Pure: it counts bytes and holds none; no clock, no I/O. Not thread-safe: owned by one thread,
 * on which callbacks run as well.
 */
public final class BufferBudget {

    private final BufferLimits limits;
    private final Map<String, Long> windowBytesByClient = new HashMap<>();

    /** Bodies that requested credit and got none, in the order of their requests. */
    private final Deque<Reservation> waiting = new ArrayDeque<>();

    private long windowBytes;
    private long borrowedBytes;

    /** Creates an unused budget. */
    public BufferBudget(BufferLimits limits) {
        this.limits = limits;
    }

    /** The reason why a body is not admitted. */
    public enum RejectionReason {
        /** The budget has fewer free bytes than a window needs. */
        BUDGET_EXHAUSTED,
        /** With another window, the bodies of the client would exceed the limit per client. */
        CLIENT_LIMIT_REACHED
    }

    /** Either a reservation, or the reason for the rejection. */
    public record Admission(
            Optional<Reservation> reservation, Optional<RejectionReason> rejection) {}

    /**
     * Reserves a window for a body, if it fits.
     *
     * @param client the client whose limit the window counts against
     * @param onCredit called when there is credit after {@link Reservation#acquire} returned 0; may
     *     call it again at once
     */
    public Admission reserve(String client, Runnable onCredit) {
        final long ofClient = windowBytesByClient.getOrDefault(client, 0L);
        if (ofClient + limits.windowBytes() > limits.maxWindowBytesPerClient()) {
            return rejected(RejectionReason.CLIENT_LIMIT_REACHED);
        }
        // Borrowed bytes cannot be reclaimed, so a window must be free now.
        if (inUse() + limits.windowBytes() > limits.totalBytes()) {
            return rejected(RejectionReason.BUDGET_EXHAUSTED);
        }
        windowBytes += limits.windowBytes();
        windowBytesByClient.put(client, ofClient + limits.windowBytes());
        return new Admission(Optional.of(new Reservation(client, onCredit)), Optional.empty());
    }

    private static Admission rejected(RejectionReason reason) {
        return new Admission(Optional.empty(), Optional.of(reason));
    }

    /** Bytes that bodies own or have borrowed now; never more than the total. */
    public long inUse() {
        return windowBytes + borrowedBytes;
    }

    /** Number of bodies that wait for credit. */
    public int waiting() {
        return waiting.size();
    }

    /** Current limit for the bytes that one body has borrowed. */
    private long borrowLimit() {
        return Math.min(
                limits.maxBorrowedBytes(),
                (limits.totalBytes() - inUse()) / limits.borrowDivisor());
    }

    /** Notifies each waiting body at most once; a body that has to wait again is queued last. */
    private void grantToWaiting() {
        for (int left = waiting.size();
                left > 0 && !waiting.isEmpty() && borrowLimit() > 0;
                left--) {
            final Reservation next = waiting.pollFirst();
            if (next.borrowed() < borrowLimit()) {
                next.notifyOfCredit();
            } else {
                waiting.addLast(next);
            }
        }
    }

    private void returnBorrowed(long bytes) {
        borrowedBytes -= bytes;
    }

    private void returnWindow(String client) {
        windowBytes -= limits.windowBytes();
        windowBytesByClient.merge(
                client,
                -limits.windowBytes(),
                (before, change) -> before + change == 0 ? null : before + change);
    }

    /** The share of one body in the budget, from its admission until {@link #close}. */
    public final class Reservation {

        private final String client;
        private final Runnable onCredit;
        private long held;
        private boolean queued;
        private boolean closed;

        private Reservation(String client, Runnable onCredit) {
            this.client = client;
            this.onCredit = Objects.requireNonNull(onCredit);
        }

        private long borrowed() {
            return Math.max(0, held - limits.windowBytes());
        }

        private void notifyOfCredit() {
            queued = false;
            onCredit.run();
        }

        /**
         * Acquires credit. If there is none, the body waits and is notified once there is some,
         * unless it has borrowed its maximum.
         *
         * @param wanted requested bytes
         * @return bytes acquired, between 0 and {@code wanted}
         */
        public long acquire(long wanted) {
            if (closed || wanted <= 0) {
                return 0;
            }
            final long own = Math.max(0, limits.windowBytes() - held);
            final long toBorrow = Math.max(0, Math.min(wanted - own, borrowLimit() - borrowed()));
            final long acquired = Math.min(wanted, own) + toBorrow;
            held += acquired;
            borrowedBytes += toBorrow;
            // A body at its maximum is not queued: only bytes that it releases itself can help it.
            if (acquired == 0 && borrowed() < limits.maxBorrowedBytes() && !queued) {
                queued = true;
                waiting.addLast(this);
            }
            return acquired;
        }

        /**
         * Releases bytes that are no longer held.
         *
         * @throws IllegalArgumentException if {@code bytes} is negative or more than {@link #held}
         */
        public void release(long bytes) {
            if (bytes < 0 || bytes > held) {
                throw new IllegalArgumentException("releases " + bytes + " bytes of " + held);
            }
            final long before = borrowed();
            held -= bytes;
            returnBorrowed(before - borrowed());
            grantToWaiting();
        }

        /** Bytes held now. */
        public long held() {
            return held;
        }

        /** Releases all bytes and the window. Idempotent. */
        public void close() {
            if (closed) {
                return;
            }
            closed = true;
            waiting.remove(this);
            returnBorrowed(borrowed());
            held = 0;
            returnWindow(client);
            grantToWaiting();
        }
    }
}
