package cresschute.health;

/**
 * The limits by which {@link ConditionRules} assesses a worker. The two limits of slowness have a
 * gap, and a new condition counts only once it has held for a while, so that a worker near a limit
 * does not change to and fro.
 *
 * @param progressIntervalUs how often workers report the progress of running jobs, microseconds; 0
 *     where they do not
 * @param unresponsiveAfterUs no sign of any running job for this long: unresponsive; microseconds
 * @param reportMaxAgeUs age up to which a load report counts, microseconds
 * @param slowFromFactor a worker whose jobs run this many times as long as elsewhere becomes slow
 * @param slowUntilFactor a slow worker stays slow down to this factor
 * @param worseAfterUs a worse condition counts after it has held for this long, microseconds
 * @param betterAfterUs a better condition, and an overload, counts after it has held for this long,
 *     microseconds
 * @param maxConnectFailures this many failed connections in a row: unresponsive
 * @param warmUpUs a worker warms up for this long after its process started, microseconds
 */
public record HealthThresholds(
        long progressIntervalUs,
        long unresponsiveAfterUs,
        long reportMaxAgeUs,
        double slowFromFactor,
        double slowUntilFactor,
        long worseAfterUs,
        long betterAfterUs,
        int maxConnectFailures,
        long warmUpUs) {

    private static final long US_PER_S = 1_000_000;

    /** Where workers report no progress. */
    private static final long DEFAULT_UNRESPONSIVE_AFTER_US = 10 * US_PER_S;

    private static final long DEFAULT_REPORT_MAX_AGE_US = 5 * US_PER_S;
    private static final double DEFAULT_SLOW_FROM_FACTOR = 2.2;
    private static final double DEFAULT_SLOW_UNTIL_FACTOR = 1.5;
    private static final long DEFAULT_WORSE_AFTER_US = US_PER_S / 2;
    private static final long DEFAULT_BETTER_AFTER_US = 2 * US_PER_S;
    private static final int DEFAULT_MAX_CONNECT_FAILURES = 3;

    /**
     * The default limits: 5 s for the age of reports, slow from a factor of 2.2 to one of 1.5,
     * worse after 0.5 s, better after 2 s, 3 failed connections. A worker that reports progress is
     * unresponsive after 2.2 intervals and 0.5 s, so that a report may be late by one interval on a
     * loaded machine; one that does not, after 10 s.
     */
    public static HealthThresholds defaults(long progressIntervalUs, long warmUpUs) {
        return new HealthThresholds(
                progressIntervalUs,
                progressIntervalUs > 0
                        ? progressIntervalUs * 22 / 10 + US_PER_S / 2
                        : DEFAULT_UNRESPONSIVE_AFTER_US,
                DEFAULT_REPORT_MAX_AGE_US,
                DEFAULT_SLOW_FROM_FACTOR,
                DEFAULT_SLOW_UNTIL_FACTOR,
                DEFAULT_WORSE_AFTER_US,
                DEFAULT_BETTER_AFTER_US,
                DEFAULT_MAX_CONNECT_FAILURES,
                warmUpUs);
    }
}
