package cresschute.testbed.capacity;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Running times: exponential up to a longest one, which the rest take. Pure but for the source of
 * chance.
 */
final class RunTimes {

    /** Mean of the exponential over the mean wanted, where the longest run is twice the mean. */
    private static final double SCALE = 1.2550;

    private final UniformRandomProvider random;
    private final double scaleUs;
    private final double maxUs;

    RunTimes(UniformRandomProvider random, double meanUs) {
        this.random = random;
        scaleUs = SCALE * meanUs;
        maxUs = ExperimentSetup.MAX_RUN_TO_MEAN_RATIO * meanUs;
    }

    /** The running time of a job, us. */
    long next() {
        return (long) Math.max(1, Math.min(maxUs, -scaleUs * Math.log(1 - random.nextDouble())));
    }

    /** What is left of the running time of a job that is met at any moment of its run, us. */
    long remainder() {
        final double reached = 1 - Math.exp(-maxUs / scaleUs);
        return (long) Math.max(1, -scaleUs * Math.log(1 - random.nextDouble() * reached));
    }
}
