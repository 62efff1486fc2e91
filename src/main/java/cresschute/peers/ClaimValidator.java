package cresschute.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Validates the counts that peers claim against the load that workers report, so that a faulty peer
 * cannot keep a healthy worker out of use.
 *
 * <ul>
 *   <li>Contradiction: if the view of a worker exceeds the worker's load report by more than the
 *       margin, the worker is contradicted for 60 s, or until a report agrees with the view.
 *       Meanwhile the view gives no answer for the worker, so that its load is queried.
 *   <li>Distrust: if more than half of the last 16 comparisons exceed the margin, the peer with the
 *       largest claims at the workers concerned is distrusted, and the window of comparisons is
 *       cleared.
 *   <li>Verification: a worker that gets no requests sends no reports, so its claims would never be
 *       compared. Therefore one in 32 lookups of workers with claims is answered by a load query
 *       instead, and so is a lookup whose claim is above twice the mean claim plus the margin, at
 *       most once in 10 s for each worker. In total, at most one lookup per second is verified.
 * </ul>
 *
 * <p>Until it is detected, a faulty peer can thus add the margin to every worker (4 requests, or
 * half of the reported number if that is more), and more than the margin to a worker until that
 * worker is verified.
 *
 * <p>Not thread-safe: used on the exchange's thread, with a clock in microseconds.
 */
final class ClaimValidator {

    /**
     * Number of requests by which the view may exceed a report, because a report is some seconds
     * old.
     */
    static final int MARGIN = 4;

    /**
     * Fraction of the reported number by which the view may exceed it, if that is more than {@link
     * #MARGIN}.
     */
    static final double MARGIN_FRACTION = 0.5;

    /** Number of latest comparisons that decide whether a peer is distrusted. */
    static final int WINDOW_SIZE = 16;

    /** How long a worker stays contradicted, microseconds. */
    static final long CONTRADICTED_US = 60_000_000;

    /** One in this many lookups is verified. */
    static final int VERIFY_ONE_IN = 32;

    /** The shortest time between verifications of unusual claims at one worker, microseconds. */
    static final long MIN_WORKER_VERIFY_INTERVAL_US = 10_000_000;

    /** The shortest time between two verifications, microseconds. */
    static final long MIN_VERIFY_INTERVAL_US = 1_000_000;

    /** Weight of the newest claim in the mean claim. */
    private static final double NEWEST_CLAIM_WEIGHT = 0.02;

    /** A time so long ago that every interval has passed, and differences do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Claims by peer at one worker, and whether the view exceeded the worker's report. */
    private record Comparison(Map<Integer, Integer> claimsByPeer, boolean exceeds) {}

    private final Deque<Comparison> window = new ArrayDeque<>();
    private final Map<Integer, Long> contradictedUntilUs = new HashMap<>();
    private final Map<Integer, Long> lastVerifiedUs = new HashMap<>();
    private double meanClaim;
    private int lookupsSinceVerification;
    private long lastVerificationUs;

    /** Whether the view gives no answer for a worker, because a report contradicts it. */
    boolean isContradicted(long nowUs, int key) {
        final Long untilUs = contradictedUntilUs.get(key);
        if (untilUs != null && nowUs >= untilUs) {
            contradictedUntilUs.remove(key);
        }
        return contradictedUntilUs.containsKey(key);
    }

    /**
     * Whether this lookup is verified: answered by a load query instead of the view.
     *
     * @param claim number of requests in flight that all peers together claim at the worker
     */
    boolean shouldVerify(long nowUs, int key, int claim) {
        if (claim == 0) {
            return false;
        }
        final boolean unusual =
                claim > unusualClaimThreshold()
                        && nowUs - lastVerifiedUs.getOrDefault(key, NEVER)
                                >= MIN_WORKER_VERIFY_INTERVAL_US;
        meanClaim += NEWEST_CLAIM_WEIGHT * (Math.min(claim, unusualClaimThreshold()) - meanClaim);
        lookupsSinceVerification++;
        if ((unusual || lookupsSinceVerification >= VERIFY_ONE_IN)
                && nowUs - lastVerificationUs >= MIN_VERIFY_INTERVAL_US) {
            lookupsSinceVerification = 0;
            lastVerificationUs = nowUs;
            lastVerifiedUs.put(key, nowUs);
            return true;
        }
        return false;
    }

    private double unusualClaimThreshold() {
        return 2 * meanClaim + MARGIN;
    }

    /**
     * Compares a worker's report with the view.
     *
     * @param viewed requests at the worker according to the view
     * @param reported requests at the worker according to its own report
     * @param claimsByPeer requests that each peer claims at the worker
     * @return the peer to distrust, if most of the last comparisons exceed the margin
     */
    OptionalInt compare(
            long nowUs, int key, int viewed, double reported, Map<Integer, Integer> claimsByPeer) {
        if (claimsByPeer.isEmpty()) {
            return OptionalInt.empty();
        }
        final boolean exceeds = viewed - reported > Math.max(MARGIN, MARGIN_FRACTION * reported);
        if (exceeds) {
            contradictedUntilUs.put(key, nowUs + CONTRADICTED_US);
        } else {
            contradictedUntilUs.remove(key);
        }
        window.addLast(new Comparison(claimsByPeer, exceeds));
        if (window.size() > WINDOW_SIZE) {
            window.removeFirst();
        }
        return majorityExceeds() ? largestClaimant() : OptionalInt.empty();
    }

    private boolean majorityExceeds() {
        final long exceeding = window.stream().filter(Comparison::exceeds).count();
        return window.size() == WINDOW_SIZE && 2 * exceeding > WINDOW_SIZE;
    }

    /** The peer that claims most in the comparisons that exceed; clears the window. */
    private OptionalInt largestClaimant() {
        final Map<Integer, Long> claimedByPeer = new HashMap<>();
        for (final Comparison comparison : window) {
            if (comparison.exceeds()) {
                comparison
                        .claimsByPeer()
                        .forEach(
                                (peer, claim) ->
                                        claimedByPeer.merge(peer, (long) claim, Long::sum));
            }
        }
        window.clear();
        return claimedByPeer.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(each -> OptionalInt.of(each.getKey()))
                .orElse(OptionalInt.empty());
    }
}
