package cresschute.health;

import org.HdrHistogram.AbstractHistogram;

/**
 * Counts and latencies of one request class, and the median running time of its jobs on all
 * workers. Owned by {@link HealthTracker} and used on its thread.
 */
final class ClassHealth {

    private static final long SLICE_US = 10_000_000;
    private static final int SLICES_PER_MINUTE = 6;
    private static final long TEN_MINUTES_SLICE_US = 120_000_000;
    private static final int TEN_MINUTES_SLICES = 5;

    /** Running times are kept for two minutes to compute the median. */
    private static final long RUN_TIME_SLICE_US = 20_000_000;

    private static final int RUN_TIME_SLICES = 6;
    private static final int MIN_SAMPLES_FOR_MEDIAN = 5;
    private static final long US_PER_MS = 1_000;

    /** Value of the median running time while too few jobs have been served. */
    private static final long NO_MEDIAN = 0;

    private final int number;
    private final LatencyObjective objective;
    private final RollingCounts arrived = lastMinuteCounts();
    private final RollingCounts admitted = lastMinuteCounts();
    private final RollingCounts served = lastMinuteCounts();
    private final RollingCounts rejected = lastMinuteCounts();
    private final RollingCounts failed = lastMinuteCounts();
    private final RollingCounts withinObjective = lastMinuteCounts();
    private final LatencyWindow lastMinute = new LatencyWindow(SLICE_US, SLICES_PER_MINUTE);
    private final LatencyWindow lastTenMinutes =
            new LatencyWindow(TEN_MINUTES_SLICE_US, TEN_MINUTES_SLICES);
    private final LatencyWindow runTimes = new LatencyWindow(RUN_TIME_SLICE_US, RUN_TIME_SLICES);
    private int inFlight;
    private long medianRunTimeUs = NO_MEDIAN;

    /** Creates a class without requests. */
    ClassHealth(int number, LatencyObjective objective) {
        this.number = number;
        this.objective = objective;
    }

    private static RollingCounts lastMinuteCounts() {
        return new RollingCounts(SLICE_US, SLICES_PER_MINUTE);
    }

    /** Returns the number of the class. */
    int number() {
        return number;
    }

    /** Counts an arrived request. */
    void requestArrived(long nowUs) {
        arrived.add(nowUs, 1);
    }

    /** Counts a request that ended; see {@link HealthTracker#requestEnded}. */
    void requestEnded(
            long nowUs, RequestResult result, int attempts, long latencyUs, long runTimeUs) {
        admitted.add(nowUs, attempts > 0 ? 1 : 0);
        switch (result) {
            case SERVED -> {
                served.add(nowUs, 1);
                lastMinute.add(nowUs, latencyUs);
                lastTenMinutes.add(nowUs, latencyUs);
                if (objective.isMet(latencyUs, runTimeUs)) {
                    withinObjective.add(nowUs, 1);
                }
            }
            case REJECTED -> rejected.add(nowUs, 1);
            case FAILED -> failed.add(nowUs, 1);
            case CLIENT_LEFT -> {}
        }
    }

    /** Counts an attempt that was sent. */
    void attemptStarted() {
        inFlight++;
    }

    /** Counts an attempt that ended. */
    void attemptEnded() {
        inFlight--;
    }

    /** Adds the running time of a served job, microseconds. */
    void addRunTime(long nowUs, long runTimeUs) {
        runTimes.add(nowUs, runTimeUs);
    }

    /**
     * Recomputes the median running time.
     *
     * @param scratch a histogram that is overwritten
     */
    void updateMedian(long nowUs, AbstractHistogram scratch) {
        scratch.reset();
        runTimes.addTo(scratch, nowUs);
        medianRunTimeUs =
                scratch.getTotalCount() < MIN_SAMPLES_FOR_MEDIAN
                        ? NO_MEDIAN
                        : scratch.getValueAtPercentile(50) * US_PER_MS;
    }

    /**
     * Returns whether there is a median: enough jobs were served in the last two minutes and the
     * median is at least a millisecond.
     */
    boolean hasMedian() {
        return medianRunTimeUs > NO_MEDIAN;
    }

    /**
     * Returns the median running time on all workers in microseconds; valid only if {@link
     * #hasMedian}.
     */
    long medianRunTimeUs() {
        return medianRunTimeUs;
    }

    /** Returns the priority weight of the requests that met their objective in the last minute. */
    double weightWithinObjective(long nowUs) {
        return objective.priorityWeight() * withinObjective.sum(nowUs);
    }

    /**
     * Returns the priority weight of the requests that were served, rejected or failed in the last
     * minute.
     */
    double weightAnswered(long nowUs) {
        return objective.priorityWeight()
                * (served.sum(nowUs) + rejected.sum(nowUs) + failed.sum(nowUs));
    }

    /**
     * Returns the current health of the class.
     *
     * @param scratch a histogram that is overwritten
     */
    ClassHealthSnapshot snapshot(long nowUs, AbstractHistogram scratch) {
        return new ClassHealthSnapshot(
                (int) arrived.sum(nowUs),
                (int) admitted.sum(nowUs),
                (int) served.sum(nowUs),
                (int) rejected.sum(nowUs),
                (int) failed.sum(nowUs),
                (int) withinObjective.sum(nowUs),
                inFlight,
                lastMinute.percentiles(nowUs, scratch),
                lastTenMinutes.percentiles(nowUs, scratch));
    }
}
