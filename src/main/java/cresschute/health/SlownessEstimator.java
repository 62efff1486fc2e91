package cresschute.health;

/**
 * Estimates how slow a worker is: the factor by which its jobs run longer than on all workers. The
 * estimate is an exponentially weighted mean of the logarithms of the ratio of a job's running time
 * to the median of its class. It uses logarithms because running times vary by factors and one
 * heavy job must not outweigh many usual ones. The first samples have equal weights. Not
 * thread-safe.
 */
final class SlownessEstimator {

    private static final int MIN_SAMPLES = 5;
    private static final double NEWEST_WEIGHT = 0.2;

    private double meanLogRatio;
    private int samples;

    /**
     * Adds a served job.
     *
     * @param runTimeUs running time of the job, microseconds
     * @param medianUs median running time of its class on all workers, microseconds, above 0
     */
    void add(long runTimeUs, long medianUs) {
        meanLogRatio +=
                (Math.log(Math.max(1, runTimeUs) / (double) medianUs) - meanLogRatio)
                        * (samples < MIN_SAMPLES ? 1.0 / (samples + 1) : NEWEST_WEIGHT);
        samples++;
    }

    /**
     * Returns whether enough jobs were served for an estimate and the estimate is at least {@code
     * factor}.
     */
    boolean isAtLeast(double factor) {
        return samples >= MIN_SAMPLES && factor() >= factor;
    }

    /**
     * Returns the estimate: 1 if jobs run as long as on other workers, 2 if they run twice as long.
     */
    double factor() {
        return Math.exp(meanLogRatio);
    }

    /** Discards all samples, for example when the worker's process was restarted. */
    void reset() {
        samples = 0;
        meanLogRatio = 0;
    }
}
