package cresschute.dispatch;

/**
 * Estimates how long jobs run: the running time of each class, the mean running time over all
 * classes, and the slowdown of each worker.
 *
 * <p>Inputs: running-time hints, progress reports and durations of served attempts, all in us; and
 * slots of jobs.
 *
 * <p>Rule: estimates are exponential moving averages with sample weight {@value #SAMPLE_WEIGHT}. A
 * sample is {@code (end - start report) / (1 - fraction done then)} if the start was reported
 * before the end, otherwise the attempt's duration. A duration without a start report may include
 * waiting, so if it is above the estimate, its weight is multiplied by {@value #WAITING_WEIGHT}. A
 * worker's slowdown follows running time / estimate, at most {@value #MAX_RATIO}.
 *
 * <p>Reason: the work of a class, its latency bound and a worker's expected delay all scale with
 * the running time, which clients seldom send.
 *
 * <p>Guarantees: it never learns a class's running time from the duration of jobs that came with a
 * hint, nor from attempts that were not served.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class ServiceTimeEstimator {

    /** Weight of one sample in a running time. */
    private static final double SAMPLE_WEIGHT = 0.03;

    /** Weight of one job in the mean slots. */
    private static final double SLOTS_WEIGHT = SAMPLE_WEIGHT / 2;

    /** Factor on the weight of a duration above the estimate that may include waiting. */
    private static final double WAITING_WEIGHT = 0.2;

    /** Largest ratio that one job contributes to a worker's slowdown. */
    private static final double MAX_RATIO = 3;

    /** Fraction done from which a first progress report does not determine the start. */
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

    /** Mean slots of a job. */
    double meanSlots() {
        return meanSlots;
    }

    /** Records the slots of an arriving job. */
    void jobArrived(double slots) {
        meanSlots += SLOTS_WEIGHT * (slots - meanSlots);
    }

    /** Records the running time that came with a job, us. */
    void hintReceived(ClassState classState, long runningTimeUs) {
        classState.learnRunningTime(runningTimeUs, SAMPLE_WEIGHT);
    }

    /**
     * Records a served attempt.
     *
     * @param elapsedUs duration of the attempt from send to end, us
     * @param capacityFraction current capacity fraction of the worker, in (0, 1]
     */
    void attemptServed(
            PendingRequest request,
            AttemptRecord attempt,
            long nowUs,
            long elapsedUs,
            double capacityFraction) {
        // A start report that arrives together with the end does not determine the start.
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

    /**
     * Records that an attempt is late, as a sample in which its worker is {@value #MAX_RATIO} times
     * slower than estimated.
     */
    void attemptLate(AttemptRecord attempt) {
        attempt.worker().learnSlowdown(MAX_RATIO * attempt.worker().slowdown());
    }

    /**
     * Returns the time that an attempt has waited at its worker before its job started, us,
     * estimated from start and progress reports.
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
