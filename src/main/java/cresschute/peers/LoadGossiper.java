package cresschute.peers;

import cresschute.peers.LoadMessage.Entry;
import cresschute.peers.LoadMessage.KeyRange;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when this dispatcher sends a message and what is in it. The same message goes to every
 * peer.
 *
 * <ul>
 *   <li>Changed numbers go out oldest change first, within 250 ms where the budget holds all of
 *       them.
 *   <li>A message goes out at least once a second, with as much as the budget holds, also where
 *       nothing has changed: it is the sign that this dispatcher lives. Only where the budget does
 *       not hold so much as an empty message does it wait longer.
 *   <li>The sweep states all open numbers in the order of their keys once a cycle. It has up to
 *       half of a message's room before changes have any. Where the budget is short, a cycle takes
 *       longer; the next one begins only when all keys were stated.
 * </ul>
 */
public final class LoadGossiper {

    /** The shortest time between two messages, us. */
    public static final long MIN_INTERVAL_US = 250_000;

    /** The longest time between two messages where the budget allows it, us. */
    public static final long HEARTBEAT_US = 1_000_000;

    /** Heads of IPv4 and UDP, bytes for each datagram. */
    public static final int HEADER_BYTES = 28;

    private static final long LAST_KEY = Integer.toUnsignedLong(KeyRange.MAX_KEY);

    private final InFlightCounts counts;
    private final ExchangeSettings settings;
    private final int sender;
    private final long incarnation;
    private final TokenBucket bucket;
    private long sequence;
    private long sentUs;
    private long cycle = 1;
    private long cycleStartUs;
    private int sweptInCycle;

    /**
     * The first key that the sweep has not passed, unsigned; past the highest key where it passed
     * all.
     */
    private long nextKey;

    private boolean cycleEnds;

    /** An announcer of these numbers; {@code nowUs}, the time of its start, is its incarnation. */
    public LoadGossiper(ExchangeSettings settings, InFlightCounts counts, long nowUs) {
        this.settings = settings;
        this.counts = counts;
        this.sender = WorkerKeys.hash(settings.name());
        this.incarnation = nowUs;
        this.bucket = new TokenBucket(settings.bytesPerS(), nowUs);
        this.sentUs = nowUs;
        this.cycleStartUs = nowUs;
    }

    /** The message that is due now, if one is; it counts as sent to every peer. */
    public Optional<LoadMessage> poll(long nowUs) {
        final long sinceUs = nowUs - sentUs;
        if (sinceUs < MIN_INTERVAL_US) {
            return Optional.empty();
        }
        final int room = room(nowUs);
        final boolean heartbeat = sinceUs >= HEARTBEAT_US && room >= 0;
        if (!heartbeat && !(counts.hasChanges() && room >= changeBytes(room))) {
            return Optional.empty();
        }
        final List<Entry> entries = new ArrayList<>();
        final KeyRange range = sweep(nowUs, room / 2, entries);
        addChanges(room, entries);
        return Optional.of(message(nowUs, range, entries, false));
    }

    /** The last message: this dispatcher stops. Empty where the budget does not hold it. */
    public Optional<LoadMessage> leave(long nowUs) {
        return room(nowUs) < 0
                ? Optional.empty()
                : Optional.of(message(nowUs, KeyRange.EMPTY, List.of(), true));
    }

    private LoadMessage message(long nowUs, KeyRange range, List<Entry> entries, boolean leaving) {
        final long ofCycle = cycle;
        if (cycleEnds) {
            cycle++;
            cycleStartUs = nowUs;
            sweptInCycle = 0;
            nextKey = 0;
            cycleEnds = false;
        }
        final LoadMessage message =
                new LoadMessage(sender, incarnation, ++sequence, ofCycle, leaving, range, entries);
        bucket.take(cost(LoadMessageCodec.messageBytes(message)));
        sentUs = nowUs;
        return message;
    }

    /** Bytes that a message costs, all peers together. */
    private long cost(int messageBytes) {
        return (long) (messageBytes + HEADER_BYTES) * settings.peers();
    }

    /** Bytes of entries that the budget and a datagram hold; negative where not even none do. */
    private int room(long nowUs) {
        final long ofBudget = bucket.available(nowUs) / settings.peers() - HEADER_BYTES;
        return (int) Math.min(ofBudget, LoadMessageCodec.MAX_MESSAGE_BYTES)
                - LoadMessageCodec.MIN_MESSAGE_BYTES;
    }

    /** Bytes of all changes, or one more than {@code max}. */
    private int changeBytes(int max) {
        int bytes = 0;
        for (final Iterator<Integer> keys = counts.changes(); keys.hasNext() && bytes <= max; ) {
            bytes += LoadMessageCodec.entryBytes(counts.count(keys.next()));
        }
        return Math.min(bytes, Math.max(0, max) + 1);
    }

    private void addChanges(int room, List<Entry> entries) {
        int left = room;
        final Set<Integer> there = new HashSet<>();
        for (final Entry entry : entries) {
            left -= LoadMessageCodec.entryBytes(entry.count());
            there.add(entry.key());
        }
        for (final Iterator<Integer> keys = counts.changes(); keys.hasNext(); ) {
            final int key = keys.next();
            final int bytes = LoadMessageCodec.entryBytes(counts.count(key));
            if (bytes > left) {
                return;
            }
            if (there.add(key)) {
                left -= bytes;
                entries.add(new Entry(key, counts.count(key)));
            }
            counts.stated(key);
        }
    }

    /**
     * Adds the open numbers that are due by the time passed in the cycle; returns the keys covered.
     */
    private KeyRange sweep(long nowUs, int room, List<Entry> entries) {
        final List<Integer> open = nextKey > LAST_KEY ? List.of() : counts.openFrom((int) nextKey);
        final double passed = Math.min(1, (double) (nowUs - cycleStartUs) / settings.refreshUs());
        final int due = (int) ((sweptInCycle + open.size()) * passed) - sweptInCycle;
        int left = room;
        for (final int key : open.subList(0, Math.max(0, Math.min(due, open.size())))) {
            left -= LoadMessageCodec.entryBytes(counts.count(key));
            if (left < 0) {
                break;
            }
            entries.add(new Entry(key, counts.count(key)));
            counts.stated(key);
        }
        sweptInCycle += entries.size();
        cycleEnds = passed >= 1 && entries.size() == open.size();
        return covered(entries);
    }

    private KeyRange covered(List<Entry> swept) {
        final long first = nextKey;
        if (cycleEnds) {
            nextKey = LAST_KEY + 1;
        } else if (!swept.isEmpty()) {
            nextKey = Integer.toUnsignedLong(swept.get(swept.size() - 1).key()) + 1;
        }
        return nextKey == first ? KeyRange.EMPTY : new KeyRange((int) first, (int) (nextKey - 1));
    }
}
