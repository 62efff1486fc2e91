package cresschute.dispatch;

/**
 * Passes how an attempt goes and ends on to the estimators: load and health of its worker, running
 * times, and the evidence for the capacity budgets.
 *
 * <p>Inputs: the outcome, the attempt's duration in us, the load report, and whether the request is
 * closed.
 *
 * <p>Rule: a served or full attempt and one that could not connect or timed out count as {@link
 * CapacityEstimator.Evidence}, an attempt that is late before its end as overload at once and not
 * again at its end. Other outcomes count for the health of the worker alone.
 *
 * <p>Reason: errors, and connections that broke after the whole request was sent, are signs of one
 * worker's fault, not of too much work.
 *
 * <p>Never: it does not count a request against its worker that no worker could serve, nor one
 * whose client gave up before its answer would have been late.
 *
 * <p>Called on the dispatcher's thread alone.
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

    /** Takes in the load report that came with an attempt's end, and its worker's health. */
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

    /** Takes in the running time of a served attempt, or that its worker was full. */
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
     * Counts an outcome for the capacities.
     *
     * @param requestClosed whether no answer is owed any more: a timeout then is no evidence
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

    /** Takes in that an attempt in flight is late; a stalled worker is no sign of overload. */
    void recordLateAttempt(PendingRequest request, AttemptRecord attempt, long nowUs) {
        attempt.markLate();
        if (!request.isClosed() && !attempt.worker().isStalled(nowUs)) {
            addEvidence(request, attempt, CapacityEstimator.Evidence.OVERLOAD);
        }
        serviceTimes.attemptLate(attempt);
    }
}
