package cresschute.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A body on its way from whoever sends it to us to whoever we send it to, in pieces, with no more
 * of it held than there is room for.
 *
 * <p>While no more than a bound has been read, all of it is kept from byte 0 on, and any number of
 * senders may go over it, each for itself: that is what a further attempt or a hedged request
 * needs. Once more has been read, the sender that is furthest goes on alone, the others are cut
 * off, and what was sent is let go.
 *
 * <p>Pure: pieces are of any kind and counted by what they cost; {@code release} is called once for
 * each when it is no longer held here. A sender that passes a piece on keeps a hold of its own on
 * it until it is written. Owned by one thread.
 *
 * @param <P> a piece, such as a buffer
 */
public final class BodyBuffer<P> {

    /** How far the body has come in. */
    public enum State {
        OPEN,
        COMPLETE,
        ABORTED,
        CLOSED
    }

    private record Piece<P>(P content, long cost) {}

    private final BufferBudget.Reservation account;
    private final long spoolBound;
    private final Consumer<P> release;
    private final List<Piece<P>> held = new ArrayList<>();
    private final List<Reader> senders = new ArrayList<>();

    /** Pieces let go of so far: the number of the first that is held. */
    private int letGo;

    private long credit;
    private long appendedCost;
    private boolean spooling = true;
    private State state = State.OPEN;

    /**
     * A body of which nothing is read.
     *
     * @param account its room, which is closed with it
     * @param spoolBound cost up to which it can be sent anew; no more than its account can hold at
     *     all
     */
    public BodyBuffer(BufferBudget.Reservation account, long spoolBound, Consumer<P> release) {
        this.account = Objects.requireNonNull(account);
        this.spoolBound = spoolBound;
        this.release = Objects.requireNonNull(release);
    }

    // ---- In ----

    /**
     * Room to read up to so much now. Without any, the account tells when there is some; what was
     * given and not used stays good.
     */
    public long credit(long wanted) {
        if (state != State.OPEN) {
            return 0;
        }
        takeRoom(wanted);
        if (credit < wanted && spooling && isStuck()) {
            // Nothing can come free but what is kept for a further attempt: going on is worth more.
            stopSpooling();
            takeRoom(wanted);
        }
        return Math.min(credit, wanted);
    }

    /**
     * Asks until there is enough or nothing: only an account that was given nothing is told of
     * more.
     */
    private void takeRoom(long wanted) {
        long more = Long.MAX_VALUE;
        while (credit < wanted && more > 0) {
            more = account.acquire(wanted - credit);
            credit += more;
        }
    }

    /**
     * Whether all that is held has been sent by one sender, so that no room comes back by its going
     * on.
     */
    private boolean isStuck() {
        return !held.isEmpty()
                && !senders.isEmpty()
                && furthest().acknowledge == letGo + held.size();
    }

    private Reader furthest() {
        return senders.stream()
                .max(Comparator.comparingInt(each -> each.acknowledge))
                .orElseThrow();
    }

    /** A piece that was read, within the room that was given. */
    public void append(P content, long cost) {
        if (state != State.OPEN || cost > credit) {
            throw new IllegalStateException(
                    "a piece of " + cost + " with room for " + credit + ", " + state);
        }
        held.add(new Piece<>(content, cost));
        credit -= cost;
        appendedCost += cost;
        if (spooling && appendedCost > spoolBound) {
            stopSpooling();
        }
        tellSenders();
    }

    /** All of it has come. */
    public void complete() {
        end(State.COMPLETE);
    }

    /** No more of it will come, and it is not whole. */
    public void abort() {
        end(State.ABORTED);
    }

    private void end(State how) {
        if (state == State.OPEN) {
            state = how;
            account.release(credit);
            credit = 0;
            tellSenders();
        }
    }

    private void tellSenders() {
        List.copyOf(senders).forEach(each -> each.news.run());
    }

    private void stopSpooling() {
        spooling = false;
        if (senders.isEmpty()) {
            return;
        }
        final Reader goesOn = furthest();
        final List<Reader> cut = new ArrayList<>(senders);
        cut.remove(goesOn);
        senders.retainAll(List.of(goesOn));
        while (letGo < goesOn.acknowledge) {
            letGoOfFirst();
        }
        cut.forEach(each -> each.news.run());
    }

    private void letGoOfFirst() {
        final Piece<P> first = held.remove(0);
        letGo++;
        release.accept(first.content());
        account.release(first.cost());
    }

    // ---- Out ----

    /** Whether a new sender could begin at byte 0. */
    public boolean canReplay() {
        return state != State.CLOSED && (spooling || letGo == 0 && senders.isEmpty());
    }

    /**
     * A sender that begins at byte 0, or null where part of the body is gone or goes with another
     * sender.
     *
     * @param news told whenever there is more to send, no more will come, or the sender is cut off
     */
    public Reader openReader(Runnable news) {
        if (!canReplay()) {
            return null;
        }
        final Reader sender = new Reader(news);
        senders.add(sender);
        return sender;
    }

    /** One way out. */
    public final class Reader {

        private final Runnable news;
        private int next;
        private int acknowledge;

        private Reader(Runnable news) {
            this.news = Objects.requireNonNull(news);
        }

        /** Whether it may go on: false once it left, was cut off, or the body is closed. */
        public boolean isAttached() {
            return state != State.CLOSED && senders.contains(this);
        }

        /** The next piece, or null where none has come yet or it may not go on. */
        public P next() {
            return isAttached() && next < letGo + held.size()
                    ? held.get(next++ - letGo).content()
                    : null;
        }

        /** The first piece that was taken and not yet sent is written. */
        public void acknowledge() {
            if (!isAttached()) {
                return;
            }
            if (acknowledge >= next) {
                throw new IllegalStateException("more is sent than was taken");
            }
            acknowledge++;
            if (!spooling) {
                letGoOfFirst();
            }
        }

        /** Whether all of the body has come and was taken by it. */
        public boolean hasReadAll() {
            return isAttached() && state == State.COMPLETE && next == letGo + held.size();
        }

        /** Whether all of the body has come and is written. */
        public boolean isDone() {
            return isAttached() && state == State.COMPLETE && acknowledge == letGo + held.size();
        }

        /** Goes no further. Any number of times. */
        public void detach() {
            senders.remove(this);
        }
    }

    // ---- The end ----

    /** How far it has come in. */
    public State state() {
        return state;
    }

    /** Cost of what has come in so far. */
    public long appendedCost() {
        return appendedCost;
    }

    /** Lets go of all of it, and of its room. Any number of times. */
    public void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            held.forEach(each -> release.accept(each.content()));
            held.clear();
            credit = 0;
            account.close();
            tellSenders();
            senders.clear();
        }
    }
}
