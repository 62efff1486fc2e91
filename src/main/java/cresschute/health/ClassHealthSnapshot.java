package cresschute.health;

/**
 * The health of a request class: counts of the last minute and latencies.
 *
 * @param arrived requests that arrived
 * @param admitted requests that ended after at least one attempt
 * @param served requests that a worker served
 * @param rejected requests that were rejected
 * @param failed requests that failed
 * @param withinObjective served requests that met their latency objective, as measured at the
 *     dispatcher
 * @param inFlight attempts currently in flight
 * @param lastMinute latency of requests served in the last minute
 * @param lastTenMinutes latency of requests served in the last ten minutes
 */
public record ClassHealthSnapshot(
        int arrived,
        int admitted,
        int served,
        int rejected,
        int failed,
        int withinObjective,
        int inFlight,
        LatencyPercentiles lastMinute,
        LatencyPercentiles lastTenMinutes) {}
