package cresschute.dispatch;

/**
 * State that the workers of one kind share: slots, slowness and the usual load by other
 * dispatchers. It makes no decisions.
 */
final class WorkerKind {

    /** Requests per core below which a live weight is not used to estimate the cores. */
    private static final double MIN_REQUESTS_PER_CORE = 0.05;

    private static final int MAX_CORES = 64;

    /** Weight of one worker's sample in the mean of its kind; the first samples weigh more. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /**
     * Number of running times that the initial mean counts for, because a single job says little.
     */
    private static final int PRIOR_RUNS = 3;

    private double cores;
    private double idleWeight;
    private double slowness = 1;
    private int slownessSamples;
    private double runSlowness = 1;
    private int runSamples;
    private double usualOtherSlots;

    /** Estimated slots of one worker, at least 1. */
    double slots() {
        return Math.max(1, cores);
    }

    /**
     * Time of a job at a worker of this kind, including waiting, divided by the running time of its
     * class.
     */
    double slowness() {
        return slowness;
    }

    /**
     * Running time of a job at a worker of this kind, without waiting, divided by that of its
     * class.
     */
    double runSlowness() {
        return runSlowness;
    }

    /** Mean slots that other dispatchers use or queue for at a worker. */
    double usualOtherSlots() {
        return usualOtherSlots;
    }

    void otherSlotsReported(double slots) {
        usualOtherSlots += SAMPLE_WEIGHT * (slots - usualOtherSlots);
    }

    /**
     * Records a running time ratio without waiting, because waiting behind other jobs is no lack of
     * capacity.
     */
    void learnRunSlowness(double ratio) {
        runSlowness +=
                Math.max(SAMPLE_WEIGHT, 1.0 / (++runSamples + PRIOR_RUNS)) * (ratio - runSlowness);
    }

    void learnSlowness(double ratio) {
        slowness += Math.max(SAMPLE_WEIGHT, 1.0 / ++slownessSamples) * (ratio - slowness);
    }

    /**
     * Returns the requests in flight at a worker with this live weight, and updates the estimate of
     * the cores.
     */
    double requestsAt(double liveWeight) {
        idleWeight = Math.max(idleWeight, liveWeight);
        final double requestsPerCore = idleWeight / liveWeight - 1;
        if (requestsPerCore > MIN_REQUESTS_PER_CORE) {
            cores = Math.max(cores, Math.min(MAX_CORES, Math.round(1 / requestsPerCore)));
        }
        return requestsPerCore * cores;
    }

    /**
     * Returns the slots in use or queued for according to a report. Waiting jobs count in addition
     * to the busy slots, so that a long queue is distinguished from a worker that is just full.
     *
     * @param meanSlots mean slots of a job
     * @return slots, or a negative value if the report holds no load
     */
    double slotsInUse(LoadReport report, double meanSlots) {
        cores = Math.max(cores, Math.round(report.freeSlots()));
        final double occupied =
                report.freeSlots() < 0
                        ? -1
                        : Math.max(0, cores - report.freeSlots())
                                + Math.max(0, report.waiting()) * meanSlots;
        return Math.max(occupied, report.outstanding() * meanSlots);
    }
}
