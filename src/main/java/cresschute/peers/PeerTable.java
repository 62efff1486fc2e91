package cresschute.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The other dispatchers and the counts that each of them sent last, with a failure detector based
 * on the age of messages. Has no timers: every call takes the time as an argument, from which the
 * state of a peer follows.
 *
 * <ul>
 *   <li>JOINING: from the first message of an incarnation that was received, until a complete cycle
 *       was received with at most 5 % of its messages lost. An incarnation received from its first
 *       message on is ALIVE at once. A peer that has sent nothing since this dispatcher started
 *       counts as JOINING for 60 s, and as ABSENT after that.
 *   <li>ALIVE: a message was received within 3 s. A cycle with more than 5 % loss makes it JOINING.
 *   <li>SUSPECT: no message for 3 s. Its counts are kept. With the next message it returns to its
 *       previous state if no message was lost in between, and becomes JOINING otherwise.
 *   <li>ABSENT: no message for 60 s, or it announced that it stops. Its counts are dropped; the
 *       next message makes it JOINING.
 *   <li>DISTRUSTED: its counts exceeded the workers' load reports ({@link ClaimValidator}). Lasts
 *       60 s the first time and twice as long each further time, up to 1 h; after an hour without
 *       distrust, 60 s again. Meanwhile its messages are still received and determine its state
 *       afterwards.
 * </ul>
 *
 * <p>A newer incarnation drops the counts of the older one, and messages of an older incarnation
 * are rejected. Not thread-safe: used on the exchange's thread, with a clock in microseconds that
 * never goes backwards.
 */
public final class PeerTable {

    /** Time without a message after which a peer is SUSPECT, microseconds. */
    public static final long SUSPECT_AFTER_US = 3_000_000;

    /** Time without a message after which a peer is ABSENT, microseconds. */
    public static final long ABSENT_AFTER_US = 60_000_000;

    /** The largest fraction of a cycle's messages that may be lost. */
    static final double MAX_LOSS_FRACTION = 0.05;

    /** The first period for which a peer is distrusted, microseconds. */
    static final long MIN_DISTRUST_US = 60_000_000;

    /** The longest period for which a peer is distrusted, microseconds. */
    static final long MAX_DISTRUST_US = 3_600_000_000L;

    /**
     * Maximum number of workers for which one peer may send counts; limits the memory that a faulty
     * peer can take.
     */
    static final int MAX_ENTRIES_PER_PEER = 16_384;

    private final int self;
    private final int peerCount;
    private final long startUs;
    private final Map<Integer, Peer> bySender = new HashMap<>();

    /**
     * Creates a table of peers, none of which has sent a message yet.
     *
     * @param ownName name of this dispatcher
     * @param peerCount number of other dispatchers
     */
    public PeerTable(String ownName, int peerCount, long nowUs) {
        this.self = WorkerKeys.hash(ownName);
        this.peerCount = peerCount;
        this.startUs = nowUs;
    }

    /**
     * Receives an authentic message.
     *
     * @return keys of the workers whose counts the message sets or drops
     * @throws RejectedMessageException if the message is rejected and changes nothing, with the
     *     reason
     */
    public Set<Integer> receive(long nowUs, LoadMessage message) throws RejectedMessageException {
        if (message.sender() == self) {
            throw new RejectedMessageException(RejectionReason.OWN_NAME);
        }
        Peer peer = bySender.get(message.sender());
        if (peer == null) {
            evictAbsentIfFull(nowUs);
            peer = new Peer(nowUs, message);
            bySender.put(message.sender(), peer);
        }
        return peer.receive(nowUs, message);
    }

    /**
     * If the table is full, removes all absent peers to make room for a dispatcher under a new
     * name.
     */
    private void evictAbsentIfFull(long nowUs) throws RejectedMessageException {
        if (bySender.size() >= peerCount
                && !bySender.values().removeIf(peer -> peer.state(nowUs) == PeerState.ABSENT)) {
            throw new RejectedMessageException(RejectionReason.TOO_MANY_SENDERS);
        }
    }

    /** The state of every peer that has sent a message, by the hash of its name. */
    public Map<Integer, PeerState> states(long nowUs) {
        final Map<Integer, PeerState> states = new TreeMap<>(Integer::compareUnsigned);
        bySender.forEach((sender, peer) -> states.put(sender, peer.state(nowUs)));
        return states;
    }

    /** Number of peers that have sent no message yet. */
    public int missing() {
        return Math.max(0, peerCount - bySender.size());
    }

    /**
     * Whether the counts of all dispatchers are known: no peer is JOINING, SUSPECT or DISTRUSTED,
     * and a majority of all dispatchers, this one included, is ALIVE. A minority of a partition
     * cannot know what the majority does, so it is never complete.
     */
    public boolean isComplete(long nowUs) {
        if (missing() > 0 && nowUs - startUs < ABSENT_AFTER_US) {
            return false;
        }
        int alive = 1;
        for (final Peer peer : bySender.values()) {
            final PeerState state = peer.state(nowUs);
            if (state == PeerState.ALIVE) {
                alive++;
            } else if (state != PeerState.ABSENT) {
                return false;
            }
        }
        return 2 * alive > peerCount + 1;
    }

    /** Number of attempts in flight that all peers together claim at a worker. */
    public int count(long nowUs, int key) {
        long sum = 0;
        for (final Peer peer : bySender.values()) {
            sum += peer.count(nowUs, key);
        }
        return (int) Math.min(Integer.MAX_VALUE, sum);
    }

    /**
     * Attempts in flight that each peer claims at a worker, by the hash of its name; peers that
     * claim 0 are omitted.
     */
    Map<Integer, Integer> claims(long nowUs, int key) {
        final Map<Integer, Integer> claims = new HashMap<>();
        bySender.forEach(
                (sender, peer) -> {
                    final int count = peer.count(nowUs, key);
                    if (count > 0) {
                        claims.put(sender, count);
                    }
                });
        return claims;
    }

    /**
     * Distrusts a peer.
     *
     * @return how long it is distrusted, microseconds
     */
    long distrust(long nowUs, int sender) {
        return bySender.get(sender).distrust(nowUs);
    }
}
