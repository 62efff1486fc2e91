package cresschute.peers;

import java.util.OptionalInt;

/**
 * The requests that all dispatchers together have in flight at a worker: own counts plus those that
 * peers claim. The view answers only while the known counts are complete ({@link
 * PeerTable#isComplete}) and no report contradicts them ({@link ClaimValidator}); otherwise the
 * worker's load has to be queried. Not thread-safe: used on the exchange's thread.
 */
public final class PeerLoadView {

    private final WorkerKeys keys;
    private final InFlightCounts own;
    private final PeerTable peers;
    private final DistrustListener listener;
    private final ClaimValidator validator = new ClaimValidator();

    /**
     * Creates a view.
     *
     * @param own this dispatcher's attempts in flight
     * @param peers attempts in flight that the other dispatchers claim
     */
    public PeerLoadView(
            WorkerKeys keys, InFlightCounts own, PeerTable peers, DistrustListener listener) {
        this.keys = keys;
        this.own = own;
        this.peers = peers;
        this.listener = listener;
    }

    /**
     * Returns the number of requests in flight at a worker; empty if the worker's load has to be
     * queried.
     */
    public OptionalInt outstanding(long nowUs, String worker) {
        final OptionalInt key = keys.keyOf(worker);
        if (key.isEmpty() || !answersFor(nowUs, key.getAsInt())) {
            return OptionalInt.empty();
        }
        final int claimed = peers.count(nowUs, key.getAsInt());
        return validator.shouldVerify(nowUs, key.getAsInt(), claimed)
                ? OptionalInt.empty()
                : OptionalInt.of(saturatedSum(own.count(key.getAsInt()), claimed));
    }

    /** Whether the view may answer for the worker with this key. */
    boolean answersFor(long nowUs, int key) {
        return peers.isComplete(nowUs) && !validator.isContradicted(nowUs, key);
    }

    /**
     * Compares a worker's load report with the view.
     *
     * @param outstanding number of requests at the worker; negative if the report does not contain
     *     it
     */
    public void loadReported(long nowUs, String worker, double outstanding) {
        final OptionalInt key = keys.keyOf(worker);
        if (key.isEmpty() || outstanding < 0 || !peers.isComplete(nowUs)) {
            return;
        }
        final int viewed =
                saturatedSum(own.count(key.getAsInt()), peers.count(nowUs, key.getAsInt()));
        validator
                .compare(
                        nowUs,
                        key.getAsInt(),
                        viewed,
                        outstanding,
                        peers.claims(nowUs, key.getAsInt()))
                .ifPresent(sender -> listener.distrusted(sender, peers.distrust(nowUs, sender)));
    }

    private static int saturatedSum(int first, int second) {
        return (int) Math.min(Integer.MAX_VALUE, (long) first + second);
    }
}
