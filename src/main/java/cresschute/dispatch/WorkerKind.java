package cresschute.dispatch;

/** What the workers of one kind have in common. */
final class WorkerKind {
    /**
     * Requests for each core under which a live weight tells nothing of the cores, and the most
     * believed.
     */
    private static final double MIN_HELD = 0.05;

    private static final int MAX_CORES = 64;

    /**
     * Weight of one worker's news in what is usual of its kind; the first running times count in
     * full.
     */
    private static final double WEIGHT = 0.02;

    /** Running times that the usual one counts for at first: a single job says little. */
    private static final int PRIOR_RUNS = 3;

    double cores;
    double idleWeight;
    double slowness = 1;
    private int samples;
    double runSlowness = 1;
    private int runs;
    double usualOthers;

    double slots() {
        return Math.max(1, cores);
    }

    void learnOthers(double slotsOfOthers) {
        usualOthers += WEIGHT * (slotsOfOthers - usualOthers);
    }

    /**
     * Running times alone: jobs late behind others count as slow, but are no less capacity of their
     * kind.
     */
    void learnRun(double ratio) {
        runSlowness += Math.max(WEIGHT, 1.0 / (++runs + PRIOR_RUNS)) * (ratio - runSlowness);
    }

    void learnSlowness(double ratio) {
        slowness += Math.max(WEIGHT, 1.0 / ++samples) * (ratio - slowness);
    }

    /** Requests held at a worker of this live weight; learns the cores by the way. */
    double heldAt(double weight) {
        idleWeight = Math.max(idleWeight, weight);
        final double heldPerCore = idleWeight / weight - 1;
        if (heldPerCore > MIN_HELD) {
            cores = Math.max(cores, Math.min(MAX_CORES, Math.round(1 / heldPerCore)));
        }
        return heldPerCore * cores;
    }

    /** Slots in use or waited for as a report tells, or a negative value where it does not. */
    double inUseBy(LoadReport report, double meanSlots) {
        cores = Math.max(cores, Math.round(report.freeSlots()));
        // Guards against sending to a long queue as to a worker that is just full, and against
        // taking the
        // noisy report of an idle one for none.
        final double held =
                report.freeSlots() < 0
                        ? -1
                        : Math.max(0, cores - report.freeSlots())
                                + Math.max(0, report.waiting()) * meanSlots;
        return Math.max(held, report.outstanding() * meanSlots);
    }
}
