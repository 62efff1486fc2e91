package cresschute.dispatch;

/**
 * The behaviour of a worker that is warming up: sent more than {@code overloadFactor} times its
 * capacity of the moment for {@code overloadAfterUs}, it falls over.
 *
 * @param initialCapacityFraction fraction of its capacity at its start, in (0, 1]
 * @param warmUpDurationUs time until it has its whole capacity, us; at least 0
 * @param overloadFactor above 0
 * @param overloadAfterUs length of the window in which overload counts, us; at least 0
 */
public record SlowStartSettings(
        double initialCapacityFraction,
        long warmUpDurationUs,
        double overloadFactor,
        long overloadAfterUs) {

    /** Slack for chance, in standard errors of the jobs in a window. */
    private static final double CHANCE_SLACK = 2;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the first value that is out of bounds
     */
    public SlowStartSettings {
        Preconditions.require(
                initialCapacityFraction > 0 && initialCapacityFraction <= 1,
                "slowStart initialCapacityFraction");
        Preconditions.require(warmUpDurationUs >= 0, "slowStart warmUpDurationUs");
        Preconditions.require(overloadFactor > 0, "slowStart overloadFactor");
        Preconditions.require(overloadAfterUs >= 0, "slowStart overloadAfterUs");
    }

    /**
     * Jobs of mean work within {@code overloadAfterUs} that a warming worker takes, chance
     * included.
     *
     * @param jobsAtOverload how many jobs {@code overloadFactor} times its capacity of the moment
     *     are
     */
    public double toleratedJobs(double jobsAtOverload) {
        return jobsAtOverload + CHANCE_SLACK * (Math.sqrt(jobsAtOverload) + 1);
    }
}
