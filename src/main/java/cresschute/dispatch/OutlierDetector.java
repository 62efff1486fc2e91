package cresschute.dispatch;

import java.util.Collection;
import java.util.Set;

/**
 * Decides which workers are ejected: they get no new attempts for a while.
 *
 * <p>Inputs: outcomes of attempts and load queries, progress reports, the time since the last
 * report in us, and reports of other dispatchers.
 *
 * <p>Rules:
 *
 * <ul>
 *   <li>after n failures in a row, with n >= {@value #FAILURES_TO_EJECT}, a worker is ejected for
 *       {@value #BASE_EJECTION_US} us, doubled for each further {@value #FAILURES_TO_EJECT} up to
 *       {@value #MAX_EJECTION_STEPS} steps; a failed connection counts as {@value
 *       #FAILURES_TO_EJECT}, and a full worker is ejected for one mean running time;
 *   <li>a worker that seems to have free slots but has not started a job of a class after {@value
 *       #UNRESPONSIVE_RUNNING_TIMES} mean running times is unresponsive for that class for {@value
 *       #UNRESPONSIVE_EJECTION_US} us;
 *   <li>a worker without progress reports of any job for {@value #STALLED_INTERVALS} report
 *       intervals is stalled for {@value #UNRESPONSIVE_EJECTION_US} us, or until its next report.
 * </ul>
 *
 * <p>Reason: a single error may be chance or come from the network, while consecutive errors,
 * refused connections and missing reports indicate a fault of one worker.
 *
 * <p>Guarantees: a request that no worker could serve, or whose client gave it too little time, is
 * never counted. If all sampled workers are ejected, selection ignores ejection (panic threshold of
 * {@link WorkerSelector}).
 *
 * <p>Called only on the dispatcher's thread.
 */
final class OutlierDetector {

    /** Consecutive failures that eject a worker; fewer may be chance. */
    private static final int FAILURES_TO_EJECT = 3;

    /** First ejection time, us. */
    private static final long BASE_EJECTION_US = 500_000;

    private static final int MAX_EJECTION_STEPS = 5;

    /**
     * Time that a job waits for its start until its worker counts as unresponsive for the class, in
     * mean running times.
     */
    private static final double UNRESPONSIVE_RUNNING_TIMES = 4;

    /** Ejection time of an unresponsive or stalled worker, us. */
    private static final long UNRESPONSIVE_EJECTION_US = 3_000_000;

    /**
     * Time without a progress report until an attempt or worker counts as stalled, in report
     * intervals.
     */
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

    /** Records the outcome of an attempt or load query at a worker. */
    void recordOutcome(WorkerInstance worker, Outcome outcome, long nowUs) {
        switch (outcome) {
            case SERVED, FULL -> worker.clearFailures();
            // When a process dies, a connection breaks and the next one is refused. So a broken
            // connection counts as one failure, and a refused one ejects the worker.
            case ERROR, TIMED_OUT, BROKEN -> worker.addFailures(1);
            case CONNECT_FAILED -> worker.addFailures(FAILURES_TO_EJECT);
            default -> {}
        }
        final int steps =
                Math.min(worker.consecutiveFailures() / FAILURES_TO_EJECT, MAX_EJECTION_STEPS);
        final long fullUs = outcome == Outcome.FULL ? (long) serviceTimes.meanRunningTimeUs() : 0;
        worker.ejectUntil(nowUs + (steps == 0 ? fullUs : BASE_EJECTION_US << (steps - 1)));
    }

    /** Returns whether a worker is ejected for jobs of a class. */
    boolean isEjected(WorkerInstance worker, int requestClass, long nowUs) {
        return worker.isEjected(requestClass, nowUs);
    }

    /** Forgets that workers are unresponsive for classes whose numbers name other ones now. */
    void forgetClasses(Collection<WorkerInstance> workers, Set<Integer> replaced) {
        for (final WorkerInstance worker : workers) {
            for (final int requestClass : replaced) {
                worker.unresponsiveUntil(requestClass, 0);
            }
        }
    }

    /** Ejects a worker for jobs of one class, because they do not start there. */
    void ejectUnresponsive(WorkerInstance worker, int requestClass, long nowUs) {
        worker.unresponsiveUntil(requestClass, nowUs + UNRESPONSIVE_EJECTION_US);
    }

    /**
     * Returns whether an attempt shows that jobs of its class do not start at its worker; true at
     * most once for each attempt.
     *
     * @param waitAtWorkerUs time that the job has waited at the worker, us
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
     * Returns whether an attempt's progress reports have stopped. The worker is ejected only if it
     * reports on no other job either, because one broken stream does not indicate a fault of the
     * worker.
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
