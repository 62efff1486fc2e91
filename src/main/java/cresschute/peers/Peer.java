package cresschute.peers;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The state of one peer, derived from its messages: its counts, its {@link PeerState} by the rules
 * of {@link PeerTable}, and how long it is distrusted. Has no timers: every call takes the time as
 * an argument, in microseconds. Not thread-safe: owned by its table.
 */
final class Peer {

    private final Map<Integer, Integer> counts = new HashMap<>();
    private long incarnation;
    private long lastSequence;
    private long cycle;
    private long lastMessageUs;

    /** Whether its last message announced that it stops. */
    private boolean left;

    /** Whether all of its counts are known: ALIVE rather than JOINING. */
    private boolean countsKnown;

    /**
     * Whether the current cycle was received from its beginning, so that its message loss can be
     * measured.
     */
    private boolean cycleFromStart;

    private long cycleFirstSequence;
    private long receivedInCycle;
    private long distrustPeriodUs;
    private long distrustedUntilUs;

    /**
     * Creates a peer from its first message. The caller then passes the message to {@link
     * #receive}.
     */
    Peer(long nowUs, LoadMessage message) {
        startIncarnation(nowUs, message);
    }

    /** Its state now. */
    PeerState state(long nowUs) {
        return nowUs < distrustedUntilUs ? PeerState.DISTRUSTED : stateByMessages(nowUs);
    }

    private PeerState stateByMessages(long nowUs) {
        final long idleUs = nowUs - lastMessageUs;
        if (left || idleUs >= PeerTable.ABSENT_AFTER_US) {
            return PeerState.ABSENT;
        }
        if (idleUs >= PeerTable.SUSPECT_AFTER_US) {
            return PeerState.SUSPECT;
        }
        return countsKnown ? PeerState.ALIVE : PeerState.JOINING;
    }

    /** Attempts in flight that it claims at a worker; 0 while it is absent. */
    int count(long nowUs, int key) {
        return stateByMessages(nowUs) == PeerState.ABSENT ? 0 : counts.getOrDefault(key, 0);
    }

    /**
     * Receives a message.
     *
     * @return keys of the workers whose counts the message sets or drops
     * @throws RejectedMessageException if it is not newer than the last one or has too many
     *     entries; the peer is then unchanged
     */
    Set<Integer> receive(long nowUs, LoadMessage message) throws RejectedMessageException {
        if (message.incarnation() < incarnation) {
            throw new RejectedMessageException(RejectionReason.OLD_INCARNATION);
        }
        if (message.incarnation() == incarnation && message.sequence() <= lastSequence) {
            throw new RejectedMessageException(RejectionReason.OLD_SEQUENCE);
        }
        if (counts.size() + message.entries().size() > PeerTable.MAX_ENTRIES_PER_PEER) {
            throw new RejectedMessageException(RejectionReason.TOO_MANY_ENTRIES);
        }
        if (message.incarnation() > incarnation) {
            startIncarnation(nowUs, message);
        }
        checkGap(nowUs, message);
        trackCycle(message);
        lastSequence = message.sequence();
        lastMessageUs = nowUs;
        left = message.leaving();
        return apply(message);
    }

    private void startIncarnation(long nowUs, LoadMessage message) {
        counts.clear();
        incarnation = message.incarnation();
        lastSequence = message.sequence() - 1;
        cycle = message.cycle();
        lastMessageUs = nowUs;
        left = false;
        // All counts of an incarnation are known if its first message was received.
        countsKnown = message.sequence() == 1;
        cycleFromStart = countsKnown;
        cycleFirstSequence = message.sequence();
        receivedInCycle = 0;
    }

    /** After a gap with lost messages, counts are unknown until a complete cycle is received. */
    private void checkGap(long nowUs, LoadMessage message) {
        final PeerState before = stateByMessages(nowUs);
        if (before == PeerState.ABSENT) {
            counts.clear();
        }
        if (before == PeerState.ABSENT
                || (before == PeerState.SUSPECT && message.sequence() > lastSequence + 1)) {
            countsKnown = false;
            cycleFromStart = false;
        }
    }

    /**
     * At the first message of another cycle, decides by the message loss of the previous cycle
     * whether all counts are known.
     */
    private void trackCycle(LoadMessage message) {
        if (message.cycle() != cycle) {
            if (cycleFromStart) {
                final long sent = message.sequence() - cycleFirstSequence;
                countsKnown =
                        message.cycle() == cycle + 1
                                && sent - receivedInCycle <= sent * PeerTable.MAX_LOSS_FRACTION;
            }
            cycle = message.cycle();
            cycleFromStart = true;
            cycleFirstSequence = message.sequence();
            receivedInCycle = 0;
        }
        receivedInCycle++;
    }

    private Set<Integer> apply(LoadMessage message) {
        final Set<Integer> affectedKeys =
                message.entries().stream()
                        .map(LoadEntry::key)
                        .collect(Collectors.toCollection(LinkedHashSet::new));
        if (!message.range().isEmpty()) {
            final List<Integer> dropped =
                    counts.keySet().stream()
                            .filter(
                                    key ->
                                            message.range().contains(key)
                                                    && !affectedKeys.contains(key))
                            .toList();
            dropped.forEach(counts::remove);
            affectedKeys.addAll(dropped);
        }
        for (final LoadEntry entry : message.entries()) {
            if (entry.count() == 0) {
                counts.remove(entry.key());
            } else {
                counts.put(entry.key(), entry.count());
            }
        }
        return affectedKeys;
    }

    /**
     * Distrusts the peer for the minimum period. If the last distrust ended less than the maximum
     * period ago, the period is twice the last one, up to the maximum.
     *
     * @return the period, microseconds
     */
    long distrust(long nowUs) {
        final boolean recent =
                distrustPeriodUs > 0 && nowUs - distrustedUntilUs < PeerTable.MAX_DISTRUST_US;
        distrustPeriodUs =
                recent
                        ? Math.min(PeerTable.MAX_DISTRUST_US, 2 * distrustPeriodUs)
                        : PeerTable.MIN_DISTRUST_US;
        distrustedUntilUs = nowUs + distrustPeriodUs;
        return distrustPeriodUs;
    }
}
