package cresschute.dispatch;

/**
 * What the workers of one kind have in common: slots, slowness and the load that other dispatchers
 * usually put on them. It keeps state for the rules and decides nothing.
 */
final class WorkerKind {

    /** Requests per core under which a live weight says nothing of the cores. */
    private static final double MIN_REQUESTS_PER_CORE = 0.05;

    private static final int MAX_CORES = 64;

    /** Weight of one worker's sample in the mean of its kind, after the first samples. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /** Running times that the initial mean counts for: a single job says little. */
    private static final int PRIOR_RUNS = 3;

    private double cores;
    private double idleWeight;
    private double slowness = 1;
    private int slownessSamples;
    private double runSlowness = 1;
    private int runSamples;
    private double usualOtherSlots;

    /** Slots of one worker, at least 1. */
    double slots() {
        return Math.max(1, cores);
    }

    /** Time of a job here, waiting included, over the running time of its class. */
    double slowness() {
        return slowness;
    }

    /** Running time of a job here over that of its class, without waiting. */
    double runSlowness() {
        return runSlowness;
    }

    /** Slots that other dispatchers usually use or wait for at a worker. */
    double usualOtherSlots() {
        return usualOtherSlots;
    }

    void otherSlotsReported(double slots) {
        usualOtherSlots += SAMPLE_WEIGHT * (slots - usualOtherSlots);
    }

    /** Takes in a running time alone: waiting behind other jobs is no lack of capacity. */
    void learnRunSlowness(double ratio) {
        runSlowness +=
                Math.max(SAMPLE_WEIGHT, 1.0 / (++runSamples + PRIOR_RUNS)) * (ratio - runSlowness);
    }

    void learnSlowness(double ratio) {
        slowness += Math.max(SAMPLE_WEIGHT, 1.0 / ++slownessSamples) * (ratio - slowness);
    }

    /**
     * Requests in flight at a worker of this live weight; the cores are estimated along with it.
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
     * Slots in use or queued for by a report. Waiting jobs count beside the busy slots, so a long
     * queue differs from a worker that is just full.
     *
     * @param meanSlots slots of a mean job
     * @return slots, or a negative value where the report says nothing of the load
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
