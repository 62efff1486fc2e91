package cresschute.peers;

import cresschute.peers.LoadMessage.Entry;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** One other dispatcher as its messages show it. */
final class Peer {

    private final Map<Integer, Integer> counts = new HashMap<>();
    private long incarnation;
    private long sequence;
    private long cycle;
    private long lastMessageUs;
    private boolean left;
    private boolean joined;

    /**
     * Whether the cycle was received from its beginning, the sequence number there, and messages
     * since.
     */
    private boolean cycleFromStart;

    private long cycleFirstSequence;
    private long receivedInCycle;
    private long distrustUs;
    private long distrustedUntilUs;

    /** A peer of which this is the first message, not taken yet. */
    Peer(long nowUs, LoadMessage message) {
        begin(nowUs, message);
    }

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
        return joined ? PeerState.ALIVE : PeerState.JOINING;
    }

    /** Open attempts that it states at a worker. */
    int count(long nowUs, int key) {
        return stateByMessages(nowUs) == PeerState.ABSENT ? 0 : counts.getOrDefault(key, 0);
    }

    /**
     * Takes a message in; returns the workers that it is about. One that is not new changes
     * nothing.
     */
    Set<Integer> take(long nowUs, LoadMessage message) throws RejectedMessageException {
        if (message.incarnation() < incarnation) {
            throw new RejectedMessageException(RejectionReason.OLD_INCARNATION);
        }
        if (message.incarnation() == incarnation && message.sequence() <= sequence) {
            throw new RejectedMessageException(RejectionReason.OLD_SEQUENCE);
        }
        if (counts.size() + message.entries().size() > PeerTable.MAX_ENTRIES_PER_PEER) {
            throw new RejectedMessageException(RejectionReason.TOO_MANY_ENTRIES);
        }
        if (message.incarnation() > incarnation) {
            begin(nowUs, message);
        }
        noteGap(nowUs, message);
        noteCycle(message);
        sequence = message.sequence();
        lastMessageUs = nowUs;
        left = message.leaving();
        return apply(message);
    }

    private void begin(long nowUs, LoadMessage message) {
        counts.clear();
        incarnation = message.incarnation();
        sequence = message.sequence() - 1;
        cycle = message.cycle();
        lastMessageUs = nowUs;
        left = false;
        // From its first message on, all that it has is received.
        joined = message.sequence() == 1;
        cycleFromStart = joined;
        cycleFirstSequence = message.sequence();
        receivedInCycle = 0;
    }

    /** What was missed while it was suspect is not known before a whole cycle was received. */
    private void noteGap(long nowUs, LoadMessage message) {
        final PeerState before = stateByMessages(nowUs);
        if (before == PeerState.ABSENT) {
            counts.clear();
        }
        if (before == PeerState.ABSENT
                || before == PeerState.SUSPECT && message.sequence() > sequence + 1) {
            joined = false;
            cycleFromStart = false;
        }
    }

    private void noteCycle(LoadMessage message) {
        if (message.cycle() != cycle) {
            if (cycleFromStart) {
                final long sent = message.sequence() - cycleFirstSequence;
                joined =
                        message.cycle() == cycle + 1
                                && sent - receivedInCycle <= sent * PeerTable.MAX_MISSING_SHARE;
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
                        .map(Entry::key)
                        .collect(Collectors.toCollection(LinkedHashSet::new));
        if (!message.range().isEmpty()) {
            final List<Integer> closed =
                    counts.keySet().stream()
                            .filter(
                                    key ->
                                            message.range().contains(key)
                                                    && !concerned.contains(key))
                            .toList();
            closed.forEach(counts::remove);
            concerned.addAll(closed);
        }
        for (final Entry entry : message.entries()) {
            if (entry.count() == 0) {
                counts.remove(entry.key());
            } else {
                counts.put(entry.key(), entry.count());
            }
        }
        return concerned;
    }

    /**
     * Concludes nothing from its numbers for a while, twice as long as the last time if that is
     * recent.
     */
    long distrust(long nowUs) {
        final boolean recent =
                distrustUs > 0 && nowUs - distrustedUntilUs < PeerTable.MAX_DISTRUST_US;
        distrustUs =
                recent
                        ? Math.min(PeerTable.MAX_DISTRUST_US, 2 * distrustUs)
                        : PeerTable.MIN_DISTRUST_US;
        distrustedUntilUs = nowUs + distrustUs;
        return distrustUs;
    }
}
