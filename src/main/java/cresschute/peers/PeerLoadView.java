package cresschute.peers;

import java.util.OptionalInt;

/**
 * Requests that all dispatchers together have out at a worker. It answers only while what is known
 * is all there is ({@link PeerTable#isComplete}) and nothing speaks against it ({@link
 * ClaimValidator}); otherwise the worker has to be asked.
 */
public final class PeerLoadView {

    /** Notified that a peer is distrusted. */
    @FunctionalInterface
    public interface DistrustListener {

        /** The peer with this hash of its name is distrusted for so long, us. */
        void distrusted(int sender, long forUs);
    }

    private final WorkerKeys keys;
    private final InFlightCounts own;
    private final PeerTable peers;
    private final DistrustListener listener;
    private final ClaimValidator check = new ClaimValidator();

    /** A view of what this dispatcher counts and its peers state. */
    public PeerLoadView(
            WorkerKeys keys, InFlightCounts own, PeerTable peers, DistrustListener listener) {
        this.keys = keys;
        this.own = own;
        this.peers = peers;
        this.listener = listener;
    }

    /** Requests out at a worker, or empty where the worker has to be asked. */
    public OptionalInt outstanding(long nowUs, String worker) {
        final OptionalInt key = keys.unique(worker);
        if (key.isEmpty()
                || !peers.isComplete(nowUs)
                || check.isContradicted(nowUs, key.getAsInt())) {
            return OptionalInt.empty();
        }
        final int claimed = peers.count(nowUs, key.getAsInt());
        return check.verifies(nowUs, key.getAsInt(), claimed)
                ? OptionalInt.empty()
                : OptionalInt.of(sum(own.count(key.getAsInt()), claimed));
    }

    /** Whether the view may answer for the worker with this key. */
    boolean answersFor(long nowUs, int key) {
        return peers.isComplete(nowUs) && !check.isContradicted(nowUs, key);
    }

    /** A worker reports that it holds so many requests. */
    public void loadReported(long nowUs, String worker, double outstanding) {
        final OptionalInt key = keys.unique(worker);
        if (key.isEmpty() || outstanding < 0 || !peers.isComplete(nowUs)) {
            return;
        }
        final int viewed = sum(own.count(key.getAsInt()), peers.count(nowUs, key.getAsInt()));
        check.compare(
                        nowUs,
                        key.getAsInt(),
                        viewed,
                        outstanding,
                        peers.claims(nowUs, key.getAsInt()))
                .ifPresent(sender -> listener.distrusted(sender, peers.distrust(nowUs, sender)));
    }

    private static int sum(int first, int second) {
        return (int) Math.min(Integer.MAX_VALUE, (long) first + second);
    }
}
