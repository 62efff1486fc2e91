package cresschute.health;

/**
 * The health of a worker at one moment.
 *
 * @param condition as of the last {@link HealthTracker#evaluate}
 * @param reason why it has this condition, for people; empty where there is nothing to explain
 * @param sinceUs when it got this condition, microseconds
 * @param inFlight attempts in flight at it
 * @param inFlightByClass the same by request class
 * @param servedPerS attempts served per second, over the last minute
 * @param failed attempts that ended otherwise in the last minute
 * @param lastMinute latency of attempts served in the last minute
 * @param lastTenMinutes latency of attempts served in the last ten minutes
 * @param servedPerSlice attempts served in each five seconds of the last minute, the oldest first
 * @param load the load it last reported
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
