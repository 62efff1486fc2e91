package cresschute.flow;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A body on its way from whoever sends it to us to whoever we send it to, in pieces, with no more of it held
 * than there is room for.
 *
 * <p>While no more than a bound has been read, all of it is kept from byte 0 on, and a new sender may begin
 * anew: that is what a further fetch needs. Once more has been read, what was sent is let go, and the body
 * can be sent on by its present sender alone.
 *
 * <p>Pure: pieces are of any kind and counted by their bytes; {@code release} is called once for each when
 * it is no longer held here. A sender that passes a piece on keeps a hold of its own on it until it is
 * written. Owned by one thread.
 *
 * @param <P> a piece, such as a buffer
 */
public final class Body<P> {

    /** How far the body has come in. */
    public enum State { OPEN, WHOLE, BROKEN, CLOSED }

    private record Piece<P>(P content, long bytes) {
    }

    private final Budget.Account account;
    private final long spoolBound;
    private final Consumer<P> release;
    private final List<Piece<P>> held = new ArrayList<>();
    private Sender sender;
    private long room;
    private long read;
    private boolean spooling = true;
    private State state = State.OPEN;

    /**
     * A body of which nothing is read.
     *
     * @param account its room, which is closed with it
     * @param spoolBound bytes up to which it can be sent anew; no more than its account can hold at all
     */
    public Body(Budget.Account account, long spoolBound, Consumer<P> release) {
        this.account = Objects.requireNonNull(account);
        this.spoolBound = spoolBound;
        this.release = Objects.requireNonNull(release);
    }

    // ---- In ----

    /**
     * Room to read up to so many bytes now. Without any, the account tells when there is some; what was
     * given and not used stays good.
     */
    public long room(long wanted) {
        if (state != State.OPEN) {
            return 0;
        }
        if (room < wanted) {
            long more = account.take(wanted - room);
            if (more == 0 && room == 0 && spooling && isStuck()) {
                // Nothing can come free but what is kept for a further fetch: going on is worth more.
                stopSpooling();
                more = account.take(wanted);
            }
            room += more;
        }
        return Math.min(room, wanted);
    }

    /** Whether all that is held has been sent, so that no sender will ever give room back. */
    private boolean isStuck() {
        return !held.isEmpty() && sender != null && sender.sent == held.size();
    }

    /** A piece that was read, within the room that was given. */
    public void add(P content, long bytes) {
        if (state != State.OPEN || bytes > room) {
            throw new IllegalStateException("a piece of " + bytes + " with room for " + room + ", " + state);
        }
        held.add(new Piece<>(content, bytes));
        room -= bytes;
        read += bytes;
        if (spooling && read > spoolBound) {
            stopSpooling();
        }
    }

    /** All of it has come. */
    public void whole() {
        end(State.WHOLE);
    }

    /** No more of it will come, and it is not whole. */
    public void broken() {
        end(State.BROKEN);
    }

    private void end(State how) {
        if (state == State.OPEN) {
            state = how;
            account.give(room);
            room = 0;
        }
    }

    private void stopSpooling() {
        spooling = false;
        if (sender != null) {
            for (int left = sender.sent; left > 0; left--) {
                letGoOfFirst();
            }
            sender.next -= sender.sent;
            sender.sent = 0;
        }
    }

    private void letGoOfFirst() {
        final Piece<P> first = held.remove(0);
        release.accept(first.content());
        account.give(first.bytes());
    }

    // ---- Out ----

    /** Whether a new sender could begin at byte 0. */
    public boolean canBeSentAnew() {
        // Without a sender nothing was sent, and so nothing was let go.
        return state != State.CLOSED && (spooling || sender == null);
    }

    /**
     * A sender that begins at byte 0, in place of the one before it, which is told nothing more; or null
     * where part of the body is gone.
     */
    public Sender send() {
        if (!canBeSentAnew()) {
            return null;
        }
        sender = new Sender();
        return sender;
    }

    /** One way out. */
    public final class Sender {

        private int next;
        private int sent;

        private Sender() {
        }

        /** Whether it is this one that sends the body now. */
        public boolean isCurrent() {
            return sender == this && state != State.CLOSED;
        }

        /** The next piece, or null where none has come yet or it is not current. */
        public P next() {
            return isCurrent() && next < held.size() ? held.get(next++).content() : null;
        }

        /** The first piece that was taken and not yet sent is written. */
        public void sent() {
            if (!isCurrent()) {
                return;
            }
            if (sent >= next) {
                throw new IllegalStateException("more is sent than was taken");
            }
            if (spooling) {
                sent++;
            } else {
                next--;
                letGoOfFirst();
            }
        }

        /** Whether all of the body has come and is written. */
        public boolean isDone() {
            return isCurrent() && state == State.WHOLE && sent == held.size();
        }
    }

    // ---- The end ----

    /** How far it has come in. */
    public State state() {
        return state;
    }

    /** Bytes that have come in so far. */
    public long read() {
        return read;
    }

    /** Lets go of all of it, and of its room. Any number of times. */
    public void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            held.forEach(each -> release.accept(each.content()));
            held.clear();
            room = 0;
            account.close();
        }
    }
}
