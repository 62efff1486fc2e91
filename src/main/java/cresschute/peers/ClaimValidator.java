package cresschute.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Compares what the view says of workers with what they report themselves, so that a peer that lies
 * or is stuck keeps no healthy worker out of use.
 *
 * <ul>
 *   <li>A worker whose view exceeds its report by more than the margin is contradicted: the view
 *       does not answer for it for 60 s, or until a report agrees, and it is asked by probe.
 *   <li>Where most of the last 16 comparisons exceed, the peer that states most at the workers
 *       concerned is distrusted, and the window begins anew.
 *   <li>A worker that is avoided sends no reports by itself. So one in 32 questions about workers
 *       with claims is put to the worker itself, and so is every question about a claim above twice
 *       the usual one plus the margin, once in 10 s for each worker; one a second at the most in
 *       all.
 * </ul>
 *
 * Until it is found out, a peer can thus add the margin, 4 requests or half of what is reported, to
 * every worker, and more to a worker for as long as it takes until one question about it is
 * verified.
 */
final class ClaimValidator {

    /**
     * Requests by which a view may exceed a report, which is some seconds old, without being wrong.
     */
    static final int MARGIN = 4;

    /** The part of a report by which the view may exceed it, where that is more. */
    static final double MARGIN_SHARE = 0.5;

    static final int WINDOW = 16;
    static final long CONTRADICTED_US = 60_000_000;
    static final int VERIFY_ONE_IN = 32;
    static final long VERIFY_AGAIN_US = 10_000_000;
    static final long MIN_VERIFY_INTERVAL_US = 1_000_000;

    /** Weight of one claim in the usual one. */
    private static final double WEIGHT = 0.02;

    private record Comparison(Map<Integer, Integer> claims, boolean exceeds) {}

    private final Deque<Comparison> window = new ArrayDeque<>();
    private final Map<Integer, Long> contradictedUntilUs = new HashMap<>();
    private final Map<Integer, Long> verifiedUs = new HashMap<>();
    private double usualClaim;
    private int asked;
    private long lastVerifyUs;

    /** Whether the view may not answer for a worker, as its last report said otherwise. */
    boolean isContradicted(long nowUs, int key) {
        final Long untilUs = contradictedUntilUs.get(key);
        if (untilUs != null && nowUs >= untilUs) {
            contradictedUntilUs.remove(key);
        }
        return contradictedUntilUs.containsKey(key);
    }

    /**
     * Whether this question is to be put to the worker itself; {@code claim} is what all peers
     * state.
     */
    boolean verifies(long nowUs, int key, int claim) {
        if (claim == 0) {
            return false;
        }
        final boolean unusual =
                claim > 2 * usualClaim + MARGIN
                        && nowUs - verifiedUs.getOrDefault(key, Long.MIN_VALUE / 2)
                                >= VERIFY_AGAIN_US;
        usualClaim += WEIGHT * (Math.min(claim, 2 * usualClaim + MARGIN) - usualClaim);
        asked++;
        if ((unusual || asked >= VERIFY_ONE_IN) && nowUs - lastVerifyUs >= MIN_VERIFY_INTERVAL_US) {
            asked = 0;
            lastVerifyUs = nowUs;
            verifiedUs.put(key, nowUs);
            return true;
        }
        return false;
    }

    /**
     * Compares a report with the view of its worker; returns the peer to distrust, if it is time
     * for that.
     *
     * @param claims what each peer states there
     */
    OptionalInt compare(
            long nowUs, int key, int viewed, double reported, Map<Integer, Integer> claims) {
        if (claims.isEmpty()) {
            return OptionalInt.empty();
        }
        final boolean exceeds = viewed - reported > Math.max(MARGIN, MARGIN_SHARE * reported);
        if (exceeds) {
            contradictedUntilUs.put(key, nowUs + CONTRADICTED_US);
        } else {
            contradictedUntilUs.remove(key);
        }
        window.addLast(new Comparison(claims, exceeds));
        if (window.size() > WINDOW) {
            window.removeFirst();
        }
        final long exceeding = window.stream().filter(Comparison::exceeds).count();
        return window.size() == WINDOW && 2 * exceeding > WINDOW ? largest() : OptionalInt.empty();
    }

    private OptionalInt largest() {
        final Map<Integer, Long> sums = new HashMap<>();
        window.stream()
                .filter(Comparison::exceeds)
                .forEach(
                        each ->
                                each.claims()
                                        .forEach(
                                                (sender, claim) ->
                                                        sums.merge(
                                                                sender, (long) claim, Long::sum)));
        window.clear();
        return sums.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(each -> OptionalInt.of(each.getKey()))
                .orElse(OptionalInt.empty());
    }
}
