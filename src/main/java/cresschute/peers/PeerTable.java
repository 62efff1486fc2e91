package cresschute.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The other dispatchers and what each stated last. Nothing happens by itself: every question
 * carries the time, and states follow from it.
 *
 * <ul>
 *   <li>JOINING: from the first message received of an incarnation until a whole cycle was received
 *       with at most 5 % of its messages missing. An incarnation received from its first message on
 *       is ALIVE at once. A peer that sent nothing since this dispatcher's start counts as JOINING
 *       for 60 s, and then as ABSENT.
 *   <li>ALIVE: a message came within 3 s. A cycle with more than 5 % missing makes it JOINING.
 *   <li>SUSPECT: no message for 3 s. Its counts stay. With the next one it is what it was where
 *       none was missed in between, else JOINING.
 *   <li>ABSENT: no message for 60 s, or it said that it stops. Its counts are dropped; with the
 *       next message it is JOINING.
 *   <li>DISTRUSTED: its counts exceeded what workers report ({@link ClaimValidator}), for 60 s and
 *       each time twice as long, up to 1 h; an hour without makes it 60 s again. Its messages are
 *       taken in meanwhile, and after that it is what they make it.
 * </ul>
 *
 * A newer incarnation forgets the counts of the older one, and messages of an older one are
 * refused.
 */
public final class PeerTable {

    /** Time without a message after which a peer is SUSPECT, us. */
    public static final long SUSPECT_AFTER_US = 3_000_000;

    /** Time without a message after which a peer is ABSENT, us. */
    public static final long ABSENT_AFTER_US = 60_000_000;

    /** The part of a cycle's messages that may be missing. */
    static final double MAX_MISSING_SHARE = 0.05;

    /** The first time for which a peer is distrusted, and the longest, us. */
    static final long MIN_DISTRUST_US = 60_000_000;

    static final long MAX_DISTRUST_US = 3_600_000_000L;

    /**
     * Workers of which one peer may state a number: bounds the memory that a faulty peer can take.
     */
    static final int MAX_ENTRIES_PER_PEER = 16_384;

    private final int self;
    private final int peers;
    private final long startUs;
    private final Map<Integer, Peer> bySender = new HashMap<>();

    /** A table for so many other dispatchers, of which none has sent anything yet. */
    public PeerTable(String ownName, int peers, long nowUs) {
        this.self = WorkerKeys.hash(ownName);
        this.peers = peers;
        this.startUs = nowUs;
    }

    /**
     * Takes an authentic message in and returns the workers it is about, or says why it changes
     * nothing.
     */
    public Set<Integer> receive(long nowUs, LoadMessage message) throws RejectedMessageException {
        if (message.sender() == self) {
            throw new RejectedMessageException(RejectionReason.OWN_NAME);
        }
        Peer peer = bySender.get(message.sender());
        if (peer == null) {
            makeRoom(nowUs);
            peer = new Peer(nowUs, message);
            bySender.put(message.sender(), peer);
        }
        return peer.take(nowUs, message);
    }

    /** A dispatcher under a new name takes the place of one that is absent. */
    private void makeRoom(long nowUs) throws RejectedMessageException {
        if (bySender.size() >= peers
                && !bySender.values().removeIf(peer -> peer.state(nowUs) == PeerState.ABSENT)) {
            throw new RejectedMessageException(RejectionReason.TOO_MANY_SENDERS);
        }
    }

    /** The state of every peer that sent a message, by the hash of its name. */
    public Map<Integer, PeerState> states(long nowUs) {
        final Map<Integer, PeerState> states = new TreeMap<>(Integer::compareUnsigned);
        bySender.forEach((sender, peer) -> states.put(sender, peer.state(nowUs)));
        return states;
    }

    /** Peers that have sent no message yet. */
    public int missing() {
        return Math.max(0, peers - bySender.size());
    }

    /**
     * Whether what is known is all there is: no peer is JOINING, SUSPECT or DISTRUSTED, and a
     * majority of all dispatchers, this one included, is ALIVE.
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
        return 2 * alive > peers + 1;
    }

    /** Open attempts that all peers together state at a worker. */
    public int count(long nowUs, int key) {
        long sum = 0;
        for (final Peer peer : bySender.values()) {
            sum += peer.count(nowUs, key);
        }
        return (int) Math.min(Integer.MAX_VALUE, sum);
    }

    /** What each peer states at a worker, those without open attempts left out. */
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

    /** Distrusts a peer; returns for how long, us. */
    long distrust(long nowUs, int sender) {
        return bySender.get(sender).distrust(nowUs);
    }
}
