package cresschute.health;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.HdrHistogram.AbstractHistogram;

/**
 * The health of one worker: its listing, the attempts in flight, the last activity, counts and
 * latencies, and the condition derived from them. Owned by {@link HealthTracker} and used on its
 * thread. Times are microseconds of the tracker's clock.
 */
final class WorkerHealth {

    private static final long US_PER_S = 1_000_000;
    private static final long SECONDS_PER_MINUTE = 60;
    private static final long SERVED_SLICE_US = 5 * US_PER_S;
    private static final int SERVED_SLICES = 12;
    private static final long SLICE_US = 10 * US_PER_S;
    private static final int SLICES_PER_MINUTE = 6;
    private static final long TEN_MINUTES_SLICE_US = 120 * US_PER_S;
    private static final int TEN_MINUTES_SLICES = 5;

    /**
     * A time so far in the past that every limit has passed; half of the minimum, so that
     * differences to it do not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<TrackedAttempt> attempts = new ArrayList<>();
    private final int[] inFlightByClass;
    private final RollingCounts served = new RollingCounts(SERVED_SLICE_US, SERVED_SLICES);
    private final RollingCounts failed = new RollingCounts(SLICE_US, SLICES_PER_MINUTE);
    private final LatencyWindow lastMinute = new LatencyWindow(SLICE_US, SLICES_PER_MINUTE);
    private final LatencyWindow lastTenMinutes =
            new LatencyWindow(TEN_MINUTES_SLICE_US, TEN_MINUTES_SLICES);
    private final SlownessEstimator slowness = new SlownessEstimator();
    private final ConditionTracker condition = new ConditionTracker();
    private WorkerListing listing;
    private long lastActivityUs;
    private long lastRejectionUs = NEVER;
    private ReportedLoad load = ReportedLoad.NONE;
    private int connectFailures;
    private long lastConnectFailureUs;

    /**
     * Creates a worker without attempts or a condition.
     *
     * @param classes number of request classes
     * @param lastActivityUs when the worker last showed activity
     */
    WorkerHealth(int classes, WorkerListing listing, long lastActivityUs) {
        this.inFlightByClass = new int[classes];
        this.listing = listing;
        this.lastActivityUs = lastActivityUs;
    }

    // ---- Events ----

    /** Updates what the endpoint list and the operators state about the worker. */
    void listed(WorkerListing next) {
        if (next.processStartUs() != listing.processStartUs()) {
            // The worker was restarted: the speed and the failed connections of the old process do
            // not apply.
            slowness.reset();
            connectFailures = 0;
        }
        listing = next;
    }

    /** Adds an attempt that was sent to the worker. */
    void attemptStarted(long nowUs, TrackedAttempt attempt) {
        if (attempts.isEmpty()) {
            // Without a job the worker had nothing to report until now.
            lastActivityUs = Math.max(lastActivityUs, nowUs);
        }
        attempts.add(attempt);
        inFlightByClass[attempt.requestClass().number()]++;
    }

    /** Records that the worker reported or answered something. */
    void activityObserved(long nowUs) {
        lastActivityUs = nowUs;
        connectFailures = 0;
    }

    /** Removes an attempt that has ended. */
    void attemptEnded(long nowUs, TrackedAttempt attempt, Outcome outcome) {
        attempts.remove(attempt);
        inFlightByClass[attempt.requestClass().number()]--;
        switch (outcome) {
            case CONNECT_FAILED -> {
                connectFailures++;
                lastConnectFailureUs = nowUs;
            }
            case TIMED_OUT, CANCELLED, NOT_SENT -> {}
            default -> activityObserved(nowUs);
        }
        if (outcome == Outcome.FULL) {
            lastRejectionUs = nowUs;
        }
    }

    /** Records that the worker served an attempt that has just ended. */
    void served(long nowUs, TrackedAttempt attempt) {
        served.add(nowUs, 1);
        lastMinute.add(nowUs, nowUs - attempt.sentUs());
        lastTenMinutes.add(nowUs, nowUs - attempt.sentUs());
        if (attempt.requestClass().hasMedian()) {
            slowness.add(attempt.runTimeUs(nowUs), attempt.requestClass().medianRunTimeUs());
        }
    }

    /** Records that the worker did not serve an attempt that has just ended. */
    void notServed(long nowUs, Outcome outcome) {
        failed.add(nowUs, outcome == Outcome.NOT_SENT ? 0 : 1);
    }

    /** Records a load report, which may contain no load. */
    void loadReported(long nowUs, LoadReport report) {
        load = load.updatedBy(nowUs, report);
    }

    /** Reassesses the condition of the worker. */
    void evaluate(long nowUs, ConditionRules rules, HealthThresholds thresholds) {
        condition.update(nowUs, rules.assess(nowUs, this), thresholds);
    }

    // ---- Queries ----

    /** Returns the tracker of the condition in force. */
    ConditionTracker condition() {
        return condition;
    }

    /** Returns whether the endpoint list no longer contains the worker. */
    boolean isRemoved() {
        return listing.state() == WorkerState.GONE;
    }

    /** Returns whether an operator drains the worker. */
    boolean isDrainedByOperator() {
        return listing.drainedByOperator();
    }

    /** Returns whether an operator or the endpoint list drains the worker. */
    boolean isDraining() {
        return isDrainedByOperator() || listing.state() == WorkerState.DRAINING;
    }

    /**
     * Returns whether the worker's process is known to have started less than {@code spanUs} ago.
     */
    boolean isStartedWithin(long nowUs, long spanUs) {
        return listing.processStartUs() > 0 && nowUs - listing.processStartUs() < spanUs;
    }

    /** Returns the attempts in flight at the worker, in the order in which they were sent. */
    List<TrackedAttempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** Returns whether no attempt is in flight at the worker. */
    boolean isIdle() {
        return attempts.isEmpty();
    }

    /**
     * Returns when the worker last reported or answered something, or was sent a job while it had
     * none.
     */
    long lastActivityUs() {
        return lastActivityUs;
    }

    /** Returns the number of failed connections since the last activity. */
    int connectFailures() {
        return connectFailures;
    }

    /** Returns when a connection last failed; valid only if {@link #connectFailures} is above 0. */
    long lastConnectFailureUs() {
        return lastConnectFailureUs;
    }

    /** Returns when the worker last rejected a job for lack of capacity, or {@link #NEVER}. */
    long lastRejectionUs() {
        return lastRejectionUs;
    }

    /** Returns the load that the worker last reported. */
    ReportedLoad load() {
        return load;
    }

    /** Returns the estimate of how slow its jobs are compared with other workers. */
    SlownessEstimator slowness() {
        return slowness;
    }

    /**
     * Returns the current health of the worker.
     *
     * @param scratch a histogram that is overwritten
     */
    WorkerHealthSnapshot snapshot(long nowUs, AbstractHistogram scratch) {
        return new WorkerHealthSnapshot(
                condition.condition().orElse(WorkerCondition.HEALTHY),
                condition.reason(),
                condition.sinceUs(),
                attempts.size(),
                inFlightByClass.clone(),
                served.sum(nowUs) / SECONDS_PER_MINUTE,
                (int) failed.sum(nowUs),
                lastMinute.percentiles(nowUs, scratch),
                lastTenMinutes.percentiles(nowUs, scratch),
                served.perSlice(nowUs),
                load);
    }
}
