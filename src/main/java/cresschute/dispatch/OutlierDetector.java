package cresschute.dispatch;

/**
 * Decides which workers are ejected, so that new attempts go elsewhere for a while.
 *
 * <p>Inputs: outcomes of attempts and load queries, progress reports, time without a report in us,
 * and reports of other dispatchers.
 *
 * <p>Rules:
 *
 * <ul>
 *   <li>after n failures in a row, with n >= {@value #FAILURES_TO_EJECT}, a worker is ejected for
 *       {@value #BASE_EJECTION_US} us, doubled for each further {@value #FAILURES_TO_EJECT} up to
 *       {@value #MAX_EJECTION_STEPS} steps; a failed connection counts as {@value
 *       #FAILURES_TO_EJECT}, and a worker that is full is ejected for one mean running time;
 *   <li>a worker that seems to have free slots but has not started a job of a class after {@value
 *       #UNRESPONSIVE_RUNNING_TIMES} mean running times is unresponsive for that class for {@value
 *       #UNRESPONSIVE_EJECTION_US} us;
 *   <li>a worker without progress reports of any job for {@value #STALLED_INTERVALS} report
 *       intervals is stalled for {@value #UNRESPONSIVE_EJECTION_US} us, or until its next report.
 * </ul>
 *
 * <p>Reason: one error is chance and also comes from the network, while errors in a row, refused
 * connections and silence are signs of one worker's fault.
 *
 * <p>Never: it does not count a request that no worker could serve, or that its client gave too
 * little time; and where all workers drawn are ejected, selection ignores it (panic threshold of
 * {@link WorkerSelector}).
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class OutlierDetector {

    /** Failures in a row that eject a worker: fewer are chance. */
    private static final int FAILURES_TO_EJECT = 3;

    /** Ejection after the first failures, us. */
    private static final long BASE_EJECTION_US = 500_000;

    private static final int MAX_EJECTION_STEPS = 5;

    /** Wait for a start that makes a worker unresponsive for a class, in mean running times. */
    private static final double UNRESPONSIVE_RUNNING_TIMES = 4;

    /** Ejection of a worker that is unresponsive or stalled, us. */
    private static final long UNRESPONSIVE_EJECTION_US = 3_000_000;

    /** Report intervals without a report that make an attempt or worker stalled. */
    private static final double STALLED_INTERVALS = 1.8;

    private final CurrentSettings settings;
    private final ServiceTimeEstimator serviceTimes;
    private final WorkerLoadEstimator loads;

    OutlierDetector(
            CurrentSettings settings,
            ServiceTimeEstimator serviceTimes,
            WorkerLoadEstimator loads) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
        this.loads = loads;
    }

    /** Takes in how an attempt or load query at a worker ended. */
    void recordOutcome(WorkerInstance worker, Outcome outcome, long nowUs) {
        switch (outcome) {
            case SERVED, FULL -> worker.clearFailures();
            // A process that dies breaks one connection and refuses the next.
            case ERROR, TIMED_OUT, BROKEN -> worker.addFailures(1);
            case CONNECT_FAILED -> worker.addFailures(FAILURES_TO_EJECT);
            default -> {}
        }
        final int steps =
                Math.min(worker.consecutiveFailures() / FAILURES_TO_EJECT, MAX_EJECTION_STEPS);
        final long fullUs = outcome == Outcome.FULL ? (long) serviceTimes.meanRunningTimeUs() : 0;
        worker.ejectUntil(nowUs + (steps == 0 ? fullUs : BASE_EJECTION_US << (steps - 1)));
    }

    /** Whether a worker is ejected for jobs of a class. */
    boolean isEjected(WorkerInstance worker, int requestClass, long nowUs) {
        return worker.isEjected(requestClass, nowUs);
    }

    /** Ejects a worker for jobs of a class that do not start there. */
    void ejectUnresponsive(WorkerInstance worker, int requestClass, long nowUs) {
        worker.unresponsiveUntil(requestClass, nowUs + UNRESPONSIVE_EJECTION_US);
    }

    /**
     * Whether an attempt shows, for the first time, that its class does not start at its worker.
     *
     * @param waitAtWorkerUs how long its job has waited there, us
     */
    boolean detectUnresponsive(AttemptRecord attempt, double waitAtWorkerUs, long nowUs) {
        final boolean detected =
                !attempt.isUnresponsive()
                        && settings.get().reportsJobStart()
                        && !attempt.hasReportedStart()
                        && waitAtWorkerUs
                                > UNRESPONSIVE_RUNNING_TIMES * serviceTimes.meanRunningTimeUs()
                        && loads.hasFreeSlot(attempt.worker(), nowUs);
        if (detected) {
            attempt.markUnresponsive();
        }
        return detected;
    }

    /**
     * Whether an attempt's progress reports have stopped. Its worker is ejected only where it
     * reports on no other job either: one broken stream says nothing of a worker.
     */
    boolean detectStalled(AttemptRecord attempt, long nowUs) {
        final WorkerInstance worker = attempt.worker();
        final long progressUs = settings.get().progressUs();
        final long sinceUs = (long) (nowUs - STALLED_INTERVALS * progressUs);
        final boolean stalled =
                progressUs > 0
                        && attempt.lastProgressUs() < sinceUs
                        && (attempt.hasReportedStart()
                                || worker.lastProgressUs() < attempt.sentUs());
        if (stalled && !attempt.isStalled()) {
            attempt.markStalled();
            if (worker.lastProgressUs() < sinceUs) {
                worker.stalledUntil(nowUs + UNRESPONSIVE_EJECTION_US);
            }
        }
        return stalled;
    }
}
