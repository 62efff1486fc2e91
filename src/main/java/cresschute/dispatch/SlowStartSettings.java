package cresschute.dispatch;

/**
 * The stated behaviour of a worker that has just started: sent more than {@code overloadFactor}
 * times its capacity of the moment for {@code overloadAfterUs}, it falls over.
 */
public record SlowStartSettings(
        double initialCapacityFraction,
        long warmUpDurationUs,
        double overloadFactor,
        long overloadAfterUs) {

    /**
     * Slack for chance in the bound of a cold worker: roots of the stated jobs, and jobs besides.
     */
    private static final double CHANCE_SLACK = 2;

    public SlowStartSettings {
        Preconditions.require(
                initialCapacityFraction > 0 && initialCapacityFraction <= 1, "coldStart fromShare");
        Preconditions.require(warmUpDurationUs >= 0, "coldStart warmWithinUs");
        Preconditions.require(overloadFactor > 0, "coldStart overloadFactor");
        Preconditions.require(overloadAfterUs >= 0, "coldStart tipAfterUs");
    }

    /**
     * Jobs of mean work within {@code overloadAfterUs} beyond which a cold worker falls, with the
     * slack for chance.
     *
     * @param stated how many of them {@code overloadFactor} times its capacity of the moment are
     */
    public double toleratedJobs(double stated) {
        return stated + CHANCE_SLACK * (Math.sqrt(stated) + 1);
    }
}
