package cresschute.dispatch;

/**
 * Behaviour of a worker that is warming up. It fails if it gets more than {@code overloadFactor}
 * times its current capacity for {@code overloadAfterUs}.
 *
 * @param initialCapacityFraction fraction of its full capacity at its start, in (0, 1]
 * @param warmUpDurationUs time from its start until it has its full capacity, us; at least 0
 * @param overloadFactor multiple of its current capacity above which it is overloaded; above 0
 * @param overloadAfterUs length of the window over which overload is measured, us; at least 0
 */
public record SlowStartSettings(
        double initialCapacityFraction,
        long warmUpDurationUs,
        double overloadFactor,
        long overloadAfterUs) {

    /** Allowance for chance, in standard errors of the number of jobs in a window. */
    private static final double CHANCE_SLACK = 2;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of bounds; the message names the first
     *     such value
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
     * Returns the number of jobs of mean work that a warming worker tolerates within {@code
     * overloadAfterUs}, with an allowance for chance.
     *
     * @param jobsAtOverload number of jobs that make up {@code overloadFactor} times its current
     *     capacity
     */
    public double toleratedJobs(double jobsAtOverload) {
        return jobsAtOverload + CHANCE_SLACK * (Math.sqrt(jobsAtOverload) + 1);
    }
}
