package cresschute.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Buffers a body in transit between one sender and its readers, in pieces and with backpressure:
 * pieces are appended within the credit of a {@link BufferBudget}, and released as readers
 * acknowledge them.
 *
 * <p>Life cycle: {@code OPEN}, then {@code COMPLETE} or {@code ABORTED}, and {@code CLOSED} from
 * any of these. Up to the replay limit the whole body is kept, and any number of readers can read
 * it from byte 0, each at its own pace, as a retry or a hedged request requires. Once the body
 * exceeds the limit, or only releasing kept pieces can free credit, the furthest reader continues
 * alone, the other readers are detached, and acknowledged pieces are released.
 *
 * <p>Pure: pieces may be of any type and are counted by their cost, in bytes; {@code releaser} is
 * called once for each piece when the buffer no longer holds it. Code that forwards a piece must
 * retain it until it is written. Not thread-safe: owned by one thread.
 *
 * @param <P> a piece, such as a buffer
 */
public final class BodyBuffer<P> {

    /** How much of the body has been received. */
    public enum State {
        /** More pieces may follow. */
        OPEN,
        /** The whole body was received. */
        COMPLETE,
        /** Only a part was received, and no more will follow. */
        ABORTED,
        /** All pieces are released. */
        CLOSED
    }

    private record Piece<P>(P content, long cost) {}

    private final BufferBudget.Reservation reservation;
    private final long replayLimit;
    private final Consumer<P> releaser;
    private final List<Piece<P>> pieces = new ArrayList<>();
    private final List<Reader> readers = new ArrayList<>();

    /** Number of pieces released so far, which is the index of the first one in {@link #pieces}. */
    private int releasedPieces;

    /** Bytes acquired from the reservation and not used by a piece. */
    private long credit;

    private long appendedCost;
    private boolean replayable = true;
    private State state = State.OPEN;

    /**
     * Creates an empty, open body.
     *
     * @param reservation its reservation of the budget, which is closed with the body
     * @param replayLimit cost up to which the whole body is kept, bytes; at most what the
     *     reservation can hold
     * @param releaser called once with each piece when it is released
     */
    public BodyBuffer(
            BufferBudget.Reservation reservation, long replayLimit, Consumer<P> releaser) {
        this.reservation = Objects.requireNonNull(reservation);
        this.replayLimit = replayLimit;
        this.releaser = Objects.requireNonNull(releaser);
    }

    // ---- Sender's side ----

    /**
     * Acquires credit to append up to {@code wanted} bytes now. If there is none, the reservation
     * notifies its owner once there is some, unless the body has borrowed its maximum. Unused
     * credit is kept.
     *
     * @return between 0 and {@code wanted}; 0 unless the body is open
     */
    public long credit(long wanted) {
        if (state != State.OPEN) {
            return 0;
        }
        acquireCredit(wanted);
        if (credit < wanted && replayable && isBlockedByReplay()) {
            // Only releasing the pieces kept for a replay can free credit: end the replay, as the
            // body would not progress otherwise.
            endReplay();
            acquireCredit(wanted);
        }
        return Math.min(credit, wanted);
    }

    /**
     * Acquires until there is enough credit, or until a call returns 0: only a call that returns 0
     * makes the reservation wait for credit.
     */
    private void acquireCredit(long wanted) {
        long acquired = Long.MAX_VALUE;
        while (credit < wanted && acquired > 0) {
            acquired = reservation.acquire(wanted - credit);
            credit += acquired;
        }
    }

    /**
     * Whether all credit in use belongs to pieces kept for a replay: there are pieces, and the
     * furthest reader has acknowledged all of them.
     */
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
     * @param cost bytes of credit that the piece uses
     * @throws IllegalStateException if the body is not open or the credit is insufficient
     */
    public void append(P content, long cost) {
        if (state != State.OPEN || cost > credit) {
            throw new IllegalStateException(
                    "cannot append "
                            + cost
                            + " bytes: credit is "
                            + credit
                            + ", state is "
                            + state);
        }
        pieces.add(new Piece<>(content, cost));
        credit -= cost;
        appendedCost += cost;
        if (replayable && appendedCost > replayLimit) {
            endReplay();
        }
        notifyReaders();
    }

    /** Notes that the whole body was received. */
    public void complete() {
        end(State.COMPLETE);
    }

    /** Notes that the rest of the body will not be received. */
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

    /** Whether a new reader can begin at byte 0. */
    public boolean canReplay() {
        return state != State.CLOSED && (replayable || (releasedPieces == 0 && readers.isEmpty()));
    }

    /**
     * Opens a reader that begins at byte 0.
     *
     * @param onChange called whenever there is more to read, the body has ended, or the reader was
     *     detached
     * @return the reader; empty if part of the body is released or another reader continues alone
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

        /** Whether the reader may continue: it is not detached, and the body is not closed. */
        public boolean isAttached() {
            return state != State.CLOSED && readers.contains(this);
        }

        /** Returns the next piece; null if none was received yet or the reader is not attached. */
        public P next() {
            return isAttached() && read < receivedPieces()
                    ? pieces.get(read++ - releasedPieces).content()
                    : null;
        }

        /**
         * Acknowledges the first piece that was read and not acknowledged yet. Does nothing if the
         * reader is not attached.
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

        /** Ends this reader, which reads no further pieces. Idempotent. */
        public void detach() {
            readers.remove(this);
        }
    }

    // ---- State and end ----

    /** How much of the body has been received. */
    public State state() {
        return state;
    }

    /** Total cost of the pieces appended so far, bytes. */
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
