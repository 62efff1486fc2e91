package cresschute.health;

import org.HdrHistogram.AbstractHistogram;

/**
 * Counts and latencies of one request class, and the median running time of its jobs on all
 * workers. Owned by {@link HealthTracker}; same thread.
 */
final class ClassHealth {

    private static final long SLICE_US = 10_000_000;
    private static final int SLICES_PER_MINUTE = 6;
    private static final long TEN_MINUTES_SLICE_US = 120_000_000;
    private static final int TEN_MINUTES_SLICES = 5;

    /** Running times count towards the median for two minutes. */
    private static final long RUN_TIME_SLICE_US = 20_000_000;

    private static final int RUN_TIME_SLICES = 6;
    private static final int MIN_SAMPLES_FOR_MEDIAN = 5;
    private static final long US_PER_MS = 1_000;

    /** Median running time while too few jobs were served to have one. */
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

    /** The number of the class. */
    int number() {
        return number;
    }

    /** A request arrived. */
    void requestArrived(long nowUs) {
        arrived.add(nowUs, 1);
    }

    /** See {@link HealthTracker#requestEnded}. */
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

    /** An attempt of a request was sent. */
    void attemptStarted() {
        inFlight++;
    }

    /** An attempt of a request ended. */
    void attemptEnded() {
        inFlight--;
    }

    /** Adds the running time of a served job, microseconds. */
    void addRunTime(long nowUs, long runTimeUs) {
        runTimes.add(nowUs, runTimeUs);
    }

    /**
     * Computes the median running time anew.
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

    /** Whether enough jobs were served lately, each for a millisecond or more, for a median. */
    boolean hasMedian() {
        return medianRunTimeUs > NO_MEDIAN;
    }

    /** Median running time on all workers, microseconds; only where {@link #hasMedian}. */
    long medianRunTimeUs() {
        return medianRunTimeUs;
    }

    /** Priority weight of the last minute's requests that met their objective. */
    double weightWithinObjective(long nowUs) {
        return objective.priorityWeight() * withinObjective.sum(nowUs);
    }

    /** Priority weight of the last minute's requests that were answered in any way. */
    double weightAnswered(long nowUs) {
        return objective.priorityWeight()
                * (served.sum(nowUs) + rejected.sum(nowUs) + failed.sum(nowUs));
    }

    /**
     * Its health now.
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
