package cresschute.peers;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The state of one peer, as its messages show it: its counts, its {@link PeerState} by the rules of
 * {@link PeerTable}, and how long it is distrusted. Nothing happens by itself: the time is an
 * argument, microseconds. Not thread-safe: owned by its table.
 */
final class Peer {

    private final Map<Integer, Integer> counts = new HashMap<>();
    private long incarnation;
    private long lastSequence;
    private long cycle;
    private long lastMessageUs;

    /** Whether its last message said that it stops. */
    private boolean left;

    /** Whether all of its counts are known: ALIVE rather than JOINING. */
    private boolean countsKnown;

    /** Whether the cycle was received from its beginning on, so that its loss can be measured. */
    private boolean cycleFromStart;

    private long cycleFirstSequence;
    private long receivedInCycle;
    private long distrustPeriodUs;
    private long distrustedUntilUs;

    /** Creates a peer that sends its first message, which is still to be received. */
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
     * @return keys of the workers whose count it states or drops
     * @throws RejectedMessageException if it is not newer than the last one or has too many
     *     entries; nothing changes then
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
        // An incarnation received from its first message on has no unknown counts.
        countsKnown = message.sequence() == 1;
        cycleFromStart = countsKnown;
        cycleFirstSequence = message.sequence();
        receivedInCycle = 0;
    }

    /** After a gap with lost messages, counts are unknown until a complete cycle was received. */
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

    /** Judges the cycle before by its loss when a message of another cycle comes. */
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
        final Set<Integer> concerned =
                message.entries().stream()
                        .map(LoadEntry::key)
                        .collect(Collectors.toCollection(LinkedHashSet::new));
        if (!message.range().isEmpty()) {
            final List<Integer> dropped =
                    counts.keySet().stream()
                            .filter(
                                    key ->
                                            message.range().contains(key)
                                                    && !concerned.contains(key))
                            .toList();
            dropped.forEach(counts::remove);
            concerned.addAll(dropped);
        }
        for (final LoadEntry entry : message.entries()) {
            if (entry.count() == 0) {
                counts.remove(entry.key());
            } else {
                counts.put(entry.key(), entry.count());
            }
        }
        return concerned;
    }

    /**
     * Distrusts it: for the minimum period, or twice as long as the last time where that ended
     * within the maximum period, up to that.
     *
     * @return for how long, microseconds
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
