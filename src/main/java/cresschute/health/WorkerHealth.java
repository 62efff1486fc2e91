package cresschute.health;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.HdrHistogram.AbstractHistogram;

/**
 * What is known of one worker: its listing, the attempts in flight, the last sign of life, counts
 * and latencies, and the condition that follows from them. Owned by {@link HealthTracker}; same
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

    /** A time so long ago that every limit has passed, and differences do not overflow. */
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
     * A worker without attempts or condition.
     *
     * @param classes number of request classes
     * @param lastActivityUs when there was a sign of it
     */
    WorkerHealth(int classes, WorkerListing listing, long lastActivityUs) {
        this.inFlightByClass = new int[classes];
        this.listing = listing;
        this.lastActivityUs = lastActivityUs;
    }

    // ---- Events ----

    /** The endpoint list or an operator states something about it, perhaps again. */
    void listed(WorkerListing next) {
        if (next.processStartUs() != listing.processStartUs()) {
            // Another process: neither speed nor connections of the old one say anything of it.
            slowness.reset();
            connectFailures = 0;
        }
        listing = next;
    }

    /** An attempt was sent to it. */
    void attemptStarted(long nowUs, TrackedAttempt attempt) {
        if (attempts.isEmpty()) {
            // It had no job to report about until now.
            lastActivityUs = Math.max(lastActivityUs, nowUs);
        }
        attempts.add(attempt);
        inFlightByClass[attempt.requestClass().number()]++;
    }

    /** It reported something about a job. */
    void activityObserved(long nowUs) {
        lastActivityUs = nowUs;
        connectFailures = 0;
    }

    /** An attempt at it ended in some way. */
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

    /** It served an attempt that has just ended. */
    void served(long nowUs, TrackedAttempt attempt) {
        served.add(nowUs, 1);
        lastMinute.add(nowUs, nowUs - attempt.sentUs());
        lastTenMinutes.add(nowUs, nowUs - attempt.sentUs());
        if (attempt.requestClass().hasMedian()) {
            slowness.add(attempt.runTimeUs(nowUs), attempt.requestClass().medianRunTimeUs());
        }
    }

    /** It did not serve an attempt that has just ended. */
    void notServed(long nowUs, Outcome outcome) {
        failed.add(nowUs, outcome == Outcome.NOT_SENT ? 0 : 1);
    }

    /** A load report came, perhaps one without a load. */
    void loadReported(long nowUs, LoadReport report) {
        load = load.updatedBy(nowUs, report);
    }

    /** Assesses it anew. */
    void evaluate(long nowUs, ConditionRules rules, HealthThresholds thresholds) {
        condition.update(nowUs, rules.assess(nowUs, this), thresholds);
    }

    // ---- What the rules and the tracker ask ----

    /** The condition in force. */
    ConditionTracker condition() {
        return condition;
    }

    /** Whether the endpoint list no longer contains it. */
    boolean isRemoved() {
        return listing.state() == WorkerState.GONE;
    }

    /** Whether an operator drains it. */
    boolean isDrainedByOperator() {
        return listing.drainedByOperator();
    }

    /** Whether an operator or the endpoint list drains it. */
    boolean isDraining() {
        return isDrainedByOperator() || listing.state() == WorkerState.DRAINING;
    }

    /** Whether its process is known to have started less than {@code spanUs} ago. */
    boolean isStartedWithin(long nowUs, long spanUs) {
        return listing.processStartUs() > 0 && nowUs - listing.processStartUs() < spanUs;
    }

    /** Attempts in flight at it, in the order they were sent. */
    List<TrackedAttempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** Whether no attempt is in flight at it. */
    boolean isIdle() {
        return attempts.isEmpty();
    }

    /** When it last reported or answered something, or was sent its first job. */
    long lastActivityUs() {
        return lastActivityUs;
    }

    /** Failed connections since the last sign. */
    int connectFailures() {
        return connectFailures;
    }

    /** When a connection last failed; only where {@link #connectFailures} is above 0. */
    long lastConnectFailureUs() {
        return lastConnectFailureUs;
    }

    /** When it last rejected a job for lack of capacity; long ago where it never did. */
    long lastRejectionUs() {
        return lastRejectionUs;
    }

    /** The load it last reported. */
    ReportedLoad load() {
        return load;
    }

    /** How slow its jobs are compared with other workers. */
    SlownessEstimator slowness() {
        return slowness;
    }

    /**
     * Its health now.
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
