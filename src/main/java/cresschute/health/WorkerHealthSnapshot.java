package cresschute.health;

/**
 * The health of a worker at one moment.
 *
 * @param condition as of the last {@link HealthTracker#evaluate}
 * @param reason why the worker has this condition, shown to operators; empty for a healthy worker
 * @param sinceUs when the condition took effect, microseconds
 * @param inFlight attempts in flight at the worker
 * @param inFlightByClass attempts in flight by request class
 * @param servedPerS attempts served per second, over the last minute
 * @param failed attempts that were sent but not served, in the last minute
 * @param lastMinute latency of attempts served in the last minute
 * @param lastTenMinutes latency of attempts served in the last ten minutes
 * @param servedPerSlice attempts served in each five-second slice of the last minute, oldest first
 * @param load the load that the worker last reported
 */
public record WorkerHealthSnapshot(
        WorkerCondition condition,
        String reason,
        long sinceUs,
        int inFlight,
        int[] inFlightByClass,
        double servedPerS,
        int failed,
        LatencyPercentiles lastMinute,
        LatencyPercentiles lastTenMinutes,
        int[] servedPerSlice,
        ReportedLoad load) {}
