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
 *   <li>Contradiction: a worker whose view exceeds its report by more than the margin is
 *       contradicted for 60 s, or until a report agrees. Meanwhile the view gives no answer for it,
 *       so that it is queried.
 *   <li>Distrust: where most of the last 16 comparisons exceed the margin, the peer that claims
 *       most at the workers concerned is distrusted, and the window is cleared.
 *   <li>Verification: a worker that gets no requests sends no reports. So one in 32 lookups of
 *       workers with claims is left to a load query, and so is a lookup of a claim above twice the
 *       mean one plus the margin, once in 10 s for each worker; one per second at most in all.
 * </ul>
 *
 * <p>Until it is detected, a faulty peer can thus add the margin to every worker (4 requests, or
 * half of what is reported where that is more), and more to a worker until it is verified.
 *
 * <p>Not thread-safe: used on the exchange's thread, with a clock in microseconds.
 */
final class ClaimValidator {

    /** Requests by which a view may exceed a report, which is some seconds old. */
    static final int MARGIN = 4;

    /** Fraction of a report by which a view may exceed it, where that is more. */
    static final double MARGIN_FRACTION = 0.5;

    /** Number of comparisons by which peers are distrusted. */
    static final int WINDOW_SIZE = 16;

    /** How long a worker stays contradicted, microseconds. */
    static final long CONTRADICTED_US = 60_000_000;

    /** One in so many lookups is verified. */
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

    /** Whether the view gives no answer for a worker, as its last report contradicts it. */
    boolean isContradicted(long nowUs, int key) {
        final Long untilUs = contradictedUntilUs.get(key);
        if (untilUs != null && nowUs >= untilUs) {
            contradictedUntilUs.remove(key);
        }
        return contradictedUntilUs.containsKey(key);
    }

    /**
     * Whether this lookup is to be left to a load query.
     *
     * @param claim requests that all peers together claim at the worker
     */
    boolean shouldVerify(long nowUs, int key, int claim) {
        if (claim == 0) {
            return false;
        }
        final boolean unusual =
                claim > unusualAbove()
                        && nowUs - lastVerifiedUs.getOrDefault(key, NEVER)
                                >= MIN_WORKER_VERIFY_INTERVAL_US;
        meanClaim += NEWEST_CLAIM_WEIGHT * (Math.min(claim, unusualAbove()) - meanClaim);
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

    private double unusualAbove() {
        return 2 * meanClaim + MARGIN;
    }

    /**
     * Compares a report with the view of its worker.
     *
     * @param viewed requests at the worker by the view
     * @param reported requests at the worker by its own report
     * @param claimsByPeer what each peer claims there
     * @return the peer to distrust, if most of the last comparisons exceed
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
        return mostExceed() ? largestClaimant() : OptionalInt.empty();
    }

    private boolean mostExceed() {
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
