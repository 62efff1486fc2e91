package cresschute.testbed.capacity;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Random running times: exponentially distributed and capped at a maximum. The random generator is
 * the only state.
 */
final class RunTimes {

    /**
     * Mean of the exponential distribution as a multiple of the planned mean, for a maximum of
     * twice the planned mean.
     */
    private static final double SCALE = 1.2550;

    private final UniformRandomProvider random;
    private final double scaleUs;
    private final double maxUs;

    RunTimes(UniformRandomProvider random, double meanUs) {
        this.random = random;
        scaleUs = SCALE * meanUs;
        maxUs = ExperimentSetup.MAX_RUN_TO_MEAN_RATIO * meanUs;
    }

    /** The running time of a new job, us. */
    long next() {
        return (long) Math.max(1, Math.min(maxUs, -scaleUs * Math.log(1 - random.nextDouble())));
    }

    /** The remaining running time of a job at a random moment of its run, us. */
    long remainder() {
        final double reached = 1 - Math.exp(-maxUs / scaleUs);
        return (long) Math.max(1, -scaleUs * Math.log(1 - random.nextDouble() * reached));
    }
}
