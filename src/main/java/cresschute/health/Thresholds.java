package cresschute.health;

/**
 * When a worker counts as what. Each pair of bounds has a gap, and a new condition must have held
 * for a while, so that none of them flaps.
 *
 * @param progressUs how often workers tell of running jobs, or 0 where they do not
 * @param quietUs nothing heard of any job for so long: silent
 * @param reportFreshUs a report older than this says nothing about now
 * @param slowFrom its jobs run so many times longer than others': slowing
 * @param slowUntil below that it is well again
 * @param worseAfterUs a worse condition counts once it has held for so long
 * @param betterAfterUs a better one does after this, and so does full, which comes and goes with
 *     the load
 * @param connectFailures so many in a row and nothing else heard: silent
 * @param warmWithinUs how long a worker is cold after its start
 */
public record Thresholds(
        long progressUs,
        long quietUs,
        long reportFreshUs,
        double slowFrom,
        double slowUntil,
        long worseAfterUs,
        long betterAfterUs,
        int connectFailures,
        long warmWithinUs) {

    private static final long S = 1_000_000;

    /**
     * The usual ones. Progress notes may be late by as much again and a bit, as on a loaded
     * machine.
     */
    public static Thresholds usual(long progressUs, long warmWithinUs) {
        return new Thresholds(
                progressUs,
                progressUs > 0 ? progressUs * 22 / 10 + S / 2 : 10 * S,
                5 * S,
                2.2,
                1.5,
                S / 2,
                2 * S,
                3,
                warmWithinUs);
    }
}
