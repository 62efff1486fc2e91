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
 *   <li>Changes: changed counts go out in the order of their changes, within 250 ms where the
 *       budget holds all of them.
 *   <li>Heartbeat: a message goes out at least once a second, with as many changes as the budget
 *       holds, even where nothing has changed. It is later only where the budget does not hold an
 *       empty message.
 *   <li>Refresh: once a cycle, all counts above 0 are stated in the order of their keys, spread
 *       evenly over the cycle. The refresh has up to half of a message's entry bytes before changes
 *       have any. Where the budget is short, a cycle takes longer; the next one begins only after
 *       all keys were covered.
 * </ul>
 *
 * <p>Not thread-safe: called on the exchange's thread, with a clock in microseconds that never goes
 * backwards.
 */
public final class LoadGossiper {

    /** The shortest time between two messages, microseconds. */
    public static final long MIN_INTERVAL_US = 250_000;

    /** The longest time between two messages where the budget allows it, microseconds. */
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

    /** The first key not refreshed in this cycle, unsigned; above the highest key after all. */
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

    /** The message that is due now, if one is; it counts as sent to every peer. */
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

    /** The last message: this dispatcher stops. Empty where the budget does not hold it now. */
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

    /** Bytes that a message takes of the budget, for all peers together. */
    private long costInBytes(int messageBytes) {
        return (long) (messageBytes + HEADER_BYTES) * settings.peers();
    }

    /**
     * Bytes of entries for which both the budget and a datagram have space; negative where there is
     * none for an empty message.
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
            counts.advertised(key);
        }
    }

    /**
     * Adds the counts whose refresh is due by the elapsed fraction of the cycle.
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
            counts.advertised(key);
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
