package cresschute.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A body in transit between one sender and its readers, in pieces, with backpressure: pieces are
 * appended within the credit of a {@link BufferBudget}, and released as readers acknowledge them.
 *
 * <p>Life cycle: {@code OPEN}, then {@code COMPLETE} or {@code ABORTED}, and {@code CLOSED} from
 * any of these. Up to the replay limit all of the body is kept, and any number of readers go over
 * it from byte 0, each at its own pace: a retry or a hedged request needs that. Once more is
 * appended, the reader that is furthest continues alone, the others are detached, and acknowledged
 * pieces are released.
 *
 * <p>Pure: pieces are of any type and counted by their cost, in bytes; {@code releaser} is called
 * once for each piece when it is no longer held here. A reader that passes a piece on retains it
 * until it is written. Not thread-safe: owned by one thread.
 *
 * @param <P> a piece, such as a buffer
 */
public final class BodyBuffer<P> {

    /** How much of the body has been received. */
    public enum State {
        /** More pieces may come. */
        OPEN,
        /** All of it was received. */
        COMPLETE,
        /** Only a part was received, and no more will be. */
        ABORTED,
        /** Everything is released. */
        CLOSED
    }

    private record Piece<P>(P content, long cost) {}

    private final BufferBudget.Reservation reservation;
    private final long replayLimit;
    private final Consumer<P> releaser;
    private final List<Piece<P>> pieces = new ArrayList<>();
    private final List<Reader> readers = new ArrayList<>();

    /** Pieces released so far, so the number of the first one in {@link #pieces}. */
    private int releasedPieces;

    /** Acquired of the reservation and not used by a piece. */
    private long credit;

    private long appendedCost;
    private boolean replayable = true;
    private State state = State.OPEN;

    /**
     * Creates a body of which nothing was received.
     *
     * @param reservation its part of the budget, which is closed with it
     * @param replayLimit cost up to which all of it is kept, bytes; at most what the reservation
     *     can hold at all
     * @param releaser called with each piece when it is released
     */
    public BodyBuffer(
            BufferBudget.Reservation reservation, long replayLimit, Consumer<P> releaser) {
        this.reservation = Objects.requireNonNull(reservation);
        this.replayLimit = replayLimit;
        this.releaser = Objects.requireNonNull(releaser);
    }

    // ---- Sender's side ----

    /**
     * Credit to append up to {@code wanted} bytes now. Where there is none, the reservation
     * notifies once there is some. Unused credit stays.
     *
     * @return between 0 and {@code wanted}; 0 unless the body is open
     */
    public long credit(long wanted) {
        if (state != State.OPEN) {
            return 0;
        }
        acquireCredit(wanted);
        if (credit < wanted && replayable && isBlockedByReplay()) {
            // Nothing but the pieces kept for a replay can become free: progress matters more.
            endReplay();
            acquireCredit(wanted);
        }
        return Math.min(credit, wanted);
    }

    /**
     * Asks until there is enough or nothing: a reservation only waits once it was given nothing.
     */
    private void acquireCredit(long wanted) {
        long acquired = Long.MAX_VALUE;
        while (credit < wanted && acquired > 0) {
            acquired = reservation.acquire(wanted - credit);
            credit += acquired;
        }
    }

    /** Whether a reader has acknowledged all pieces, so that its progress frees no credit. */
    private boolean isBlockedByReplay() {
        return !pieces.isEmpty()
                && !readers.isEmpty()
                && furthestReader().acknowledged() == receivedPieces();
    }

    private Reader furthestReader() {
        return readers.stream().max(Comparator.comparingInt(Reader::acknowledged)).orElseThrow();
    }

    private int receivedPieces() {
        return releasedPieces + pieces.size();
    }

    /**
     * Appends a piece.
     *
     * @param cost bytes that it takes of the credit
     * @throws IllegalStateException if the body is not open or the credit does not suffice
     */
    public void append(P content, long cost) {
        if (state != State.OPEN || cost > credit) {
            throw new IllegalStateException(
                    "a piece of " + cost + " bytes with a credit of " + credit + ", " + state);
        }
        pieces.add(new Piece<>(content, cost));
        credit -= cost;
        appendedCost += cost;
        if (replayable && appendedCost > replayLimit) {
            endReplay();
        }
        notifyReaders();
    }

    /** All of the body was received. */
    public void complete() {
        end(State.COMPLETE);
    }

    /** No more of the body will be received, and it is not complete. */
    public void abort() {
        end(State.ABORTED);
    }

    private void end(State how) {
        if (state == State.OPEN) {
            state = how;
            reservation.release(credit);
            credit = 0;
            notifyReaders();
        }
    }

    private void notifyReaders() {
        List.copyOf(readers).forEach(Reader::notifyOfChange);
    }

    private void endReplay() {
        replayable = false;
        if (readers.isEmpty()) {
            return;
        }
        final Reader remaining = furthestReader();
        final List<Reader> detached = new ArrayList<>(readers);
        detached.remove(remaining);
        readers.retainAll(List.of(remaining));
        while (releasedPieces < remaining.acknowledged()) {
            releaseFirstPiece();
        }
        detached.forEach(Reader::notifyOfChange);
    }

    private void releaseFirstPiece() {
        final Piece<P> first = pieces.remove(0);
        releasedPieces++;
        releaser.accept(first.content());
        reservation.release(first.cost());
    }

    // ---- Readers' side ----

    /** Whether a new reader could begin at byte 0. */
    public boolean canReplay() {
        return state != State.CLOSED && (replayable || (releasedPieces == 0 && readers.isEmpty()));
    }

    /**
     * Opens a reader that begins at byte 0.
     *
     * @param onChange called whenever there is more to read, no more will come, or the reader was
     *     detached
     * @return the reader; empty where part of the body is released or another reader continues
     *     alone
     */
    public Optional<Reader> openReader(Runnable onChange) {
        if (!canReplay()) {
            return Optional.empty();
        }
        final Reader reader = new Reader(onChange);
        readers.add(reader);
        return Optional.of(reader);
    }

    /** Reads the body once, piece by piece. */
    public final class Reader {

        private final Runnable onChange;
        private int read;
        private int acknowledged;

        private Reader(Runnable onChange) {
            this.onChange = Objects.requireNonNull(onChange);
        }

        private void notifyOfChange() {
            onChange.run();
        }

        private int acknowledged() {
            return acknowledged;
        }

        /** Whether it may go on: not detached, and the body is not closed. */
        public boolean isAttached() {
            return state != State.CLOSED && readers.contains(this);
        }

        /** The next piece; null where none was received yet or the reader is not attached. */
        public P next() {
            return isAttached() && read < receivedPieces()
                    ? pieces.get(read++ - releasedPieces).content()
                    : null;
        }

        /**
         * The first piece that was read and not acknowledged yet is written.
         *
         * @throws IllegalStateException if there is no such piece
         */
        public void acknowledge() {
            if (!isAttached()) {
                return;
            }
            if (acknowledged >= read) {
                throw new IllegalStateException("more pieces acknowledged than read");
            }
            acknowledged++;
            if (!replayable) {
                releaseFirstPiece();
            }
        }

        /** Whether the body is complete and this reader has read all of it. */
        public boolean hasReadAll() {
            return isAttached() && state == State.COMPLETE && read == receivedPieces();
        }

        /** Whether the body is complete and this reader has acknowledged all of it. */
        public boolean isDone() {
            return isAttached() && state == State.COMPLETE && acknowledged == receivedPieces();
        }

        /** Reads no further. Idempotent. */
        public void detach() {
            readers.remove(this);
        }
    }

    // ---- State and end ----

    /** How much of the body has been received. */
    public State state() {
        return state;
    }

    /** Cost of everything appended so far, bytes. */
    public long appendedCost() {
        return appendedCost;
    }

    /** Releases all pieces and the reservation, and detaches all readers. Idempotent. */
    public void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            pieces.forEach(each -> releaser.accept(each.content()));
            pieces.clear();
            credit = 0;
            reservation.close();
            notifyReaders();
            readers.clear();
        }
    }
}
