package cresschute.dispatch;

/**
 * Estimates how long jobs run: the running time of each class, the mean job over all classes, and
 * the pace of each worker.
 *
 * <p>Inputs: running-time hints, progress reports and durations of served attempts, all in us;
 * slots of jobs.
 *
 * <p>Rule: estimates are exponential moving averages of weight {@value #SAMPLE_WEIGHT}. A sample is
 * {@code (end - start report) / (1 - fraction done then)} where the start was reported in time,
 * else the attempt's duration. A duration without a start report holds waiting, so above the
 * estimate it weighs {@value #WAITING_WEIGHT} times as much. A worker's pace follows running time /
 * estimate, at most {@value #MAX_RATIO}.
 *
 * <p>Reason: the work of a class, its latency bound and a worker's expected delay all scale with
 * the running time, which clients seldom state.
 *
 * <p>Never: it does not learn a class's running time from jobs that came with a hint, nor from
 * attempts that were not served.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class ServiceTimeEstimator {

    /** Weight of one sample in a running time. */
    private static final double SAMPLE_WEIGHT = 0.03;

    /** Weight of one job in the mean slots. */
    private static final double SLOTS_WEIGHT = SAMPLE_WEIGHT / 2;

    /** Weight kept by a duration above the estimate that may hold waiting. */
    private static final double WAITING_WEIGHT = 0.2;

    /** Largest ratio that one job adds to a worker's pace. */
    private static final double MAX_RATIO = 3;

    /** Fraction done beyond which a start report dates no start. */
    private static final double MAX_FRACTION_AT_START = 0.95;

    private final CurrentSettings settings;
    private double meanRunningTimeUs;
    private double meanSlots = 1;

    ServiceTimeEstimator(CurrentSettings settings) {
        this.settings = settings;
    }

    /** Adds to the initial mean running time, us. */
    void addInitialRunningTime(double us) {
        meanRunningTimeUs += us;
    }

    /** Mean running time of a job, us. */
    double meanRunningTimeUs() {
        return meanRunningTimeUs;
    }

    /** Slots of a mean job. */
    double meanSlots() {
        return meanSlots;
    }

    /** Takes in the slots of an arriving job. */
    void jobArrived(double slots) {
        meanSlots += SLOTS_WEIGHT * (slots - meanSlots);
    }

    /** Takes in the running time that came with a job, us. */
    void hintReceived(ClassState classState, long runningTimeUs) {
        classState.learnRunningTime(runningTimeUs, SAMPLE_WEIGHT);
    }

    /**
     * Takes in a served attempt.
     *
     * @param elapsedUs its duration from send to end, us
     * @param capacityFraction capacity fraction of its worker now, in (0, 1]
     */
    void attemptServed(
            PendingRequest request,
            AttemptRecord attempt,
            long nowUs,
            long elapsedUs,
            double capacityFraction) {
        // A start report that is read only with the end dates no start.
        final boolean startKnown =
                attempt.hasReportedStart()
                        && attempt.startReportedAtUs() < nowUs
                        && attempt.fractionDoneAtStartReport() < MAX_FRACTION_AT_START;
        final double runningTimeUs =
                startKnown
                        ? (nowUs - attempt.startReportedAtUs())
                                / (1 - attempt.fractionDoneAtStartReport())
                        : elapsedUs;
        if (!request.hasRunningTimeHint()) {
            final boolean countsInFull = startKnown || runningTimeUs < request.runningTimeUs();
            request.classState()
                    .learnRunningTime(
                            runningTimeUs, SAMPLE_WEIGHT * (countsInFull ? 1 : WAITING_WEIGHT));
        }
        meanRunningTimeUs += SAMPLE_WEIGHT * (runningTimeUs - meanRunningTimeUs);
        if (startKnown) {
            final double ratio = Math.min(MAX_RATIO, runningTimeUs / request.runningTimeUs());
            attempt.worker().learnRunningTime(ratio * capacityFraction);
        }
    }

    /** Takes in that an attempt is late: its worker counts as {@value #MAX_RATIO} times slower. */
    void attemptLate(AttemptRecord attempt) {
        attempt.worker().learnSlowdown(MAX_RATIO * attempt.worker().slowdown());
    }

    /**
     * How long an attempt has waited at its worker before its job started, us, as far as start and
     * progress reports say.
     */
    double waitAtWorkerUs(PendingRequest request, AttemptRecord attempt, long nowUs) {
        if (attempt.hasReportedStart()) {
            final double runUs =
                    attempt.fractionDoneAtStartReport()
                            * request.runningTimeUs()
                            * attempt.worker().slowdown();
            return attempt.startReportedAtUs() - attempt.sentUs() - runUs;
        }
        final DispatchSettings current = settings.get();
        final double unreportedUs =
                current.progressUs() > 0
                        ? current.progressUs()
                        : MAX_RATIO * request.runningTimeUs();
        return nowUs - attempt.sentUs() - (current.reportsJobStart() ? 0 : unreportedUs);
    }
}
