package cresschute.health;

/**
 * Percentiles of the latencies of served jobs.
 *
 * @param p50Ms the median, milliseconds
 * @param p99Ms the 99th percentile, milliseconds
 */
public record LatencyPercentiles(long p50Ms, long p99Ms) {

    /** Used if no job was served; console rows show both values as -1. */
    public static final LatencyPercentiles NONE = new LatencyPercentiles(-1, -1);
}
