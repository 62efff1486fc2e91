package cresschute.health;

/**
 * The thresholds of {@link ConditionRules} and {@link ConditionTracker}. The two slowness factors
 * differ, and a new condition takes effect only after a delay, so that a worker near a threshold
 * does not flap between conditions.
 *
 * @param progressIntervalUs interval at which workers report the progress of running jobs,
 *     microseconds; 0 if they do not
 * @param unresponsiveAfterUs a worker with running jobs is unresponsive after no activity for this
 *     long, microseconds
 * @param reportMaxAgeUs maximum age of a load report that is used, microseconds
 * @param slowEnterFactor a worker becomes slow when its jobs run this many times as long as on
 *     other workers
 * @param slowExitFactor a slow worker stays slow while the factor is at least this
 * @param worseDelayUs delay until a worse condition takes effect, microseconds
 * @param betterDelayUs delay until a better condition, or OVERLOADED, takes effect, microseconds
 * @param maxConnectFailures a worker is unresponsive after this many failed connections in a row
 * @param warmUpUs how long a worker is warming up after its process started, microseconds
 */
public record HealthThresholds(
        long progressIntervalUs,
        long unresponsiveAfterUs,
        long reportMaxAgeUs,
        double slowEnterFactor,
        double slowExitFactor,
        long worseDelayUs,
        long betterDelayUs,
        int maxConnectFailures,
        long warmUpUs) {

    private static final long US_PER_S = 1_000_000;

    /** Used if workers do not report progress. */
    private static final long DEFAULT_UNRESPONSIVE_AFTER_US = 10 * US_PER_S;

    private static final long DEFAULT_REPORT_MAX_AGE_US = 5 * US_PER_S;
    private static final double DEFAULT_SLOW_ENTER_FACTOR = 2.2;
    private static final double DEFAULT_SLOW_EXIT_FACTOR = 1.5;
    private static final long DEFAULT_WORSE_DELAY_US = US_PER_S / 2;
    private static final long DEFAULT_BETTER_DELAY_US = 2 * US_PER_S;
    private static final int DEFAULT_MAX_CONNECT_FAILURES = 3;

    /**
     * Returns the default thresholds: reports count up to an age of 5 s, a worker becomes slow from
     * a factor of 2.2 and stays slow down to 1.5, a worse condition takes effect after 0.5 s and a
     * better one after 2 s, and 3 failed connections make a worker unresponsive. A worker that
     * reports progress is unresponsive after 2.2 report intervals plus 0.5 s, so that a report may
     * be late by one interval on a loaded machine. A worker that does not report progress is
     * unresponsive after 10 s.
     */
    public static HealthThresholds defaults(long progressIntervalUs, long warmUpUs) {
        return new HealthThresholds(
                progressIntervalUs,
                progressIntervalUs > 0
                        ? progressIntervalUs * 22 / 10 + US_PER_S / 2
                        : DEFAULT_UNRESPONSIVE_AFTER_US,
                DEFAULT_REPORT_MAX_AGE_US,
                DEFAULT_SLOW_ENTER_FACTOR,
                DEFAULT_SLOW_EXIT_FACTOR,
                DEFAULT_WORSE_DELAY_US,
                DEFAULT_BETTER_DELAY_US,
                DEFAULT_MAX_CONNECT_FAILURES,
                warmUpUs);
    }
}
