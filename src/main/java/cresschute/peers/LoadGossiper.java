package cresschute.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when this dispatcher sends a gossip message and what it contains. Every peer gets the
 * same message; a token bucket limits the bytes to all of them together.
 *
 * <ul>
 *   <li>Changes: changed counts are sent in the order of their changes, within 250 ms if all of
 *       them fit into the budget.
 *   <li>Heartbeat: a message is sent at least once a second, even if nothing has changed, with as
 *       many changes as fit into the budget. It is delayed only while the budget is too small for
 *       an empty message.
 *   <li>Refresh: once per cycle, all counts above 0 are sent in the order of their keys, spread
 *       evenly over the cycle. The refresh may use up to half of a message's entry bytes; changes
 *       get the rest. If the budget is short, a cycle takes longer; the next one begins only after
 *       all keys were covered.
 * </ul>
 *
 * <p>Not thread-safe: called on the exchange's thread, with a clock in microseconds that never goes
 * backwards.
 */
public final class LoadGossiper {

    /** The shortest time between two messages, microseconds. */
    public static final long MIN_INTERVAL_US = 250_000;

    /** The longest time between two messages if the budget allows it, microseconds. */
    public static final long HEARTBEAT_US = 1_000_000;

    /** Headers of IPv4 and UDP, bytes per datagram. */
    public static final int HEADER_BYTES = 28;

    private static final long MAX_UNSIGNED_KEY = Integer.toUnsignedLong(KeyRange.MAX_KEY);

    private final InFlightCounts counts;
    private final ExchangeSettings settings;
    private final int sender;
    private final long incarnation;
    private final TokenBucket bucket;
    private long sequence;
    private long lastSentUs;
    private long cycle = 1;
    private long cycleStartUs;
    private int refreshedInCycle;

    /**
     * The first key not yet refreshed in this cycle, unsigned; above the highest key once all are
     * refreshed.
     */
    private long nextKey;

    /** Whether the message in preparation is the last one of its cycle. */
    private boolean cycleEnds;

    /**
     * Creates the gossiper of a dispatcher that starts now.
     *
     * @param nowUs its incarnation, microseconds of Unix time
     */
    public LoadGossiper(ExchangeSettings settings, InFlightCounts counts, long nowUs) {
        this.settings = settings;
        this.counts = counts;
        this.sender = WorkerKeys.hash(settings.name());
        this.incarnation = nowUs;
        this.bucket = new TokenBucket(settings.bytesPerS(), nowUs);
        this.lastSentUs = nowUs;
        this.cycleStartUs = nowUs;
    }

    /**
     * Returns the message that is due now; empty if none is. The caller has to send it to every
     * peer: its bytes are taken from the budget.
     */
    public Optional<LoadMessage> poll(long nowUs) {
        final long sinceLastUs = nowUs - lastSentUs;
        if (sinceLastUs < MIN_INTERVAL_US) {
            return Optional.empty();
        }
        final int entryBytes = availableEntryBytes(nowUs);
        final boolean heartbeatDue = sinceLastUs >= HEARTBEAT_US && entryBytes >= 0;
        if (!heartbeatDue && !(counts.hasChanges() && allChangesFit(entryBytes))) {
            return Optional.empty();
        }
        final List<LoadEntry> entries = new ArrayList<>();
        final KeyRange range = addRefresh(nowUs, entryBytes / 2, entries);
        addChanges(entryBytes, entries);
        return Optional.of(send(nowUs, range, entries, false));
    }

    /**
     * Returns the last message, which announces that this dispatcher stops; empty if it exceeds the
     * available budget now.
     */
    public Optional<LoadMessage> leave(long nowUs) {
        return availableEntryBytes(nowUs) < 0
                ? Optional.empty()
                : Optional.of(send(nowUs, KeyRange.EMPTY, List.of(), true));
    }

    private LoadMessage send(long nowUs, KeyRange range, List<LoadEntry> entries, boolean leaving) {
        final long cycleOfMessage = cycle;
        if (cycleEnds) {
            startCycle(nowUs);
        }
        final LoadMessage message =
                new LoadMessage(
                        sender, incarnation, ++sequence, cycleOfMessage, leaving, range, entries);
        bucket.take(costInBytes(LoadMessageCodec.messageBytes(message)));
        lastSentUs = nowUs;
        return message;
    }

    private void startCycle(long nowUs) {
        cycle++;
        cycleStartUs = nowUs;
        refreshedInCycle = 0;
        nextKey = 0;
        cycleEnds = false;
    }

    /** Bytes that sending a message to all peers takes from the budget. */
    private long costInBytes(int messageBytes) {
        return (long) (messageBytes + HEADER_BYTES) * settings.peers();
    }

    /**
     * Bytes of entries that fit into both the budget and a datagram; negative if an empty message
     * does not fit.
     */
    private int availableEntryBytes(long nowUs) {
        final long budgetBytes = bucket.available(nowUs) / settings.peers() - HEADER_BYTES;
        return (int) Math.min(budgetBytes, LoadMessageCodec.MAX_MESSAGE_BYTES)
                - LoadMessageCodec.MIN_MESSAGE_BYTES;
    }

    private boolean allChangesFit(int entryBytes) {
        int bytes = 0;
        for (final int key : counts.changedKeys()) {
            bytes += LoadMessageCodec.entryBytes(counts.count(key));
            if (bytes > entryBytes) {
                return false;
            }
        }
        return true;
    }

    private void addChanges(int entryBytes, List<LoadEntry> entries) {
        int left = entryBytes;
        final Set<Integer> included = new HashSet<>();
        for (final LoadEntry entry : entries) {
            left -= LoadMessageCodec.entryBytes(entry.count());
            included.add(entry.key());
        }
        for (final int key : counts.changedKeys()) {
            final int bytes = LoadMessageCodec.entryBytes(counts.count(key));
            if (bytes > left) {
                return;
            }
            if (included.add(key)) {
                left -= bytes;
                entries.add(new LoadEntry(key, counts.count(key)));
            }
            counts.markAdvertised(key);
        }
    }

    /**
     * Adds the counts whose refresh is due, given the elapsed fraction of the cycle.
     *
     * @return the keys that the message covers
     */
    private KeyRange addRefresh(long nowUs, int entryBytes, List<LoadEntry> entries) {
        final List<Integer> remaining =
                nextKey > MAX_UNSIGNED_KEY ? List.of() : counts.inFlightKeysFrom((int) nextKey);
        final double elapsed = Math.min(1, (double) (nowUs - cycleStartUs) / settings.refreshUs());
        final int due = (int) ((refreshedInCycle + remaining.size()) * elapsed) - refreshedInCycle;
        int left = entryBytes;
        for (final int key : remaining.subList(0, Math.max(0, Math.min(due, remaining.size())))) {
            left -= LoadMessageCodec.entryBytes(counts.count(key));
            if (left < 0) {
                break;
            }
            entries.add(new LoadEntry(key, counts.count(key)));
            counts.markAdvertised(key);
        }
        refreshedInCycle += entries.size();
        cycleEnds = elapsed >= 1 && entries.size() == remaining.size();
        return advanceRange(entries);
    }

    private KeyRange advanceRange(List<LoadEntry> refreshed) {
        final long first = nextKey;
        if (cycleEnds) {
            nextKey = MAX_UNSIGNED_KEY + 1;
        } else if (!refreshed.isEmpty()) {
            nextKey = Integer.toUnsignedLong(refreshed.get(refreshed.size() - 1).key()) + 1;
        }
        return nextKey == first ? KeyRange.EMPTY : new KeyRange((int) first, (int) (nextKey - 1));
    }
}
