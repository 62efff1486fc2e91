package cresschute.dispatch;

/**
 * Updates the estimators from attempts: the load and health of the worker, running times, and the
 * evidence for the capacity budgets.
 *
 * <p>Inputs: the outcome, the attempt's duration in us, the load report, and whether the request is
 * closed.
 *
 * <p>Rule: an attempt that is served, rejected as full, unable to connect or timed out counts as
 * {@link CapacityEstimator.Evidence}, except a timeout whose request is closed or has a short
 * deadline. An attempt that is late before its end counts as overload at once, unless its request
 * is closed or its worker is stalled, and does not count at its end. Other outcomes are no
 * evidence; errors and broken connections affect the worker's health.
 *
 * <p>Reason: errors, and connections that break after the whole request was sent, indicate a fault
 * of one worker, not overload.
 *
 * <p>Guarantees: it never counts a request against its worker if no worker could serve it, or if
 * the client gave up before an answer would have been late.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class AttemptFeedback {

    private final ServiceTimeEstimator serviceTimes;
    private final WorkerLoadEstimator loads;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final DeadlinePolicy deadlines;

    AttemptFeedback(
            ServiceTimeEstimator serviceTimes,
            WorkerLoadEstimator loads,
            SlowStart slowStart,
            OutlierDetector outliers,
            DeadlinePolicy deadlines) {
        this.serviceTimes = serviceTimes;
        this.loads = loads;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.deadlines = deadlines;
    }

    /**
     * Records the load report that came with an attempt's end, and the outcome for the worker's
     * health.
     */
    void recordLoadAndOutcome(
            WorkerInstance worker,
            PendingRequest request,
            Outcome outcome,
            LoadReport report,
            long nowUs) {
        loads.loadReported(worker, report, nowUs);
        if (outcome != Outcome.UNUSABLE && !isShortDeadlineTimeout(request, outcome)) {
            outliers.recordOutcome(worker, outcome, nowUs);
        }
    }

    /**
     * Updates the estimates with the running time of a served attempt, or with a rejection as full.
     */
    void updateEstimates(
            PendingRequest request,
            AttemptRecord attempt,
            Outcome outcome,
            long elapsedUs,
            long nowUs) {
        final WorkerInstance worker = attempt.worker();
        if (outcome == Outcome.FULL) {
            worker.progressReported(nowUs);
            loads.rejectedAsFull(worker, nowUs);
        } else if (outcome == Outcome.SERVED) {
            worker.progressReported(nowUs);
            worker.jobFinished(request.work());
            serviceTimes.attemptServed(
                    request, attempt, nowUs, elapsedUs, slowStart.capacityFraction(worker, nowUs));
        }
    }

    /**
     * Adds an outcome as evidence for the capacities of its worker.
     *
     * @param requestClosed whether the request needs no answer any more; a timeout is then no
     *     evidence
     */
    void addEvidence(
            PendingRequest request, AttemptRecord attempt, Outcome outcome, boolean requestClosed) {
        if (attempt.isLate()) {
            return;
        }
        switch (outcome) {
            case SERVED -> addEvidence(request, attempt, CapacityEstimator.Evidence.IN_TIME);
            case FULL -> addEvidence(request, attempt, CapacityEstimator.Evidence.REJECTED_AS_FULL);
            case CONNECT_FAILED ->
                    addEvidence(request, attempt, CapacityEstimator.Evidence.OVERLOAD);
            case TIMED_OUT -> {
                if (!requestClosed && !isShortDeadlineTimeout(request, outcome)) {
                    addEvidence(request, attempt, CapacityEstimator.Evidence.OVERLOAD);
                }
            }
            default -> {}
        }
    }

    private static void addEvidence(
            PendingRequest request, AttemptRecord attempt, CapacityEstimator.Evidence evidence) {
        attempt.worker().addEvidence(evidence, request.priorityWeight());
    }

    private boolean isShortDeadlineTimeout(PendingRequest request, Outcome outcome) {
        return outcome == Outcome.TIMED_OUT && deadlines.hasShortDeadline(request);
    }

    /**
     * Records that an attempt in flight is late. At a stalled worker this is not evidence of
     * overload.
     */
    void recordLateAttempt(PendingRequest request, AttemptRecord attempt, long nowUs) {
        attempt.markLate();
        if (!request.isClosed() && !attempt.worker().isStalled(nowUs)) {
            addEvidence(request, attempt, CapacityEstimator.Evidence.OVERLOAD);
        }
        serviceTimes.attemptLate(attempt);
    }
}
