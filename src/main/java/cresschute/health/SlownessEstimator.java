package cresschute.health;

/**
 * Estimates how many times as long as elsewhere a worker's jobs run: an exponentially weighted mean
 * of the logarithms of the ratio of a job's running time to the median of its class. Logarithms,
 * because running times spread by factors and one heavy job must not outweigh many usual ones. The
 * first samples have equal weights. Used by one thread.
 */
final class SlownessEstimator {

    private static final int MIN_SAMPLES = 5;
    private static final double WEIGHT_OF_NEWEST = 0.2;

    private double meanLogRatio;
    private int samples;

    /**
     * Adds a served job.
     *
     * @param runTimeUs how long it ran, microseconds
     * @param medianUs the median of its class on all workers, microseconds, above 0
     */
    void add(long runTimeUs, long medianUs) {
        meanLogRatio +=
                (Math.log(Math.max(1, runTimeUs) / (double) medianUs) - meanLogRatio)
                        * (samples < MIN_SAMPLES ? 1.0 / (samples + 1) : WEIGHT_OF_NEWEST);
        samples++;
    }

    /** Whether enough jobs were served for an estimate, and it is at least {@code factor}. */
    boolean isAtLeast(double factor) {
        return samples >= MIN_SAMPLES && factor() >= factor;
    }

    /** The estimate: 1 where jobs run as long as elsewhere, 2 where they run twice as long. */
    double factor() {
        return Math.exp(meanLogRatio);
    }

    /** Forgets everything, as for a new process. */
    void reset() {
        samples = 0;
        meanLogRatio = 0;
    }
}
