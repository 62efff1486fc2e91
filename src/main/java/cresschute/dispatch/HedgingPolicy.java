package cresschute.dispatch;

/**
 * Decides whether to send a hedged request: a second attempt, at another worker, while the first
 * one is in flight.
 *
 * <p>Inputs: the time that the request has waited and the time that it may wait, in us; whether the
 * attempt or its worker is stalled; the class's idempotency and deduplication window in us; and the
 * attempt limits.
 *
 * <p>Rule: a hedge is due if progress reports have stopped, or if the job has not started after the
 * fraction {@value #UNSTARTED_SLACK_FRACTION} of the time that it may wait. It is allowed for safe
 * requests, and for keyed requests within the deduplication window, if {@link RetryPolicy} allows
 * an attempt.
 *
 * <p>Reason: a dispatcher cannot see in advance that a job will wait behind other dispatchers'
 * jobs, and the job may start sooner at another worker.
 *
 * <p>Guarantees: an unsafe request is never hedged, a keyed request is hedged only at workers that
 * drop its duplicate, and no request has more than two attempts in flight.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class HedgingPolicy {

    /** Fraction of the time that a job may wait after which it is hedged if it has not started. */
    private static final double UNSTARTED_SLACK_FRACTION = 0.5;

    private final CurrentSettings settings;
    private final RetryPolicy retries;

    HedgingPolicy(CurrentSettings settings, RetryPolicy retries) {
        this.settings = settings;
        this.retries = retries;
    }

    /**
     * Returns whether a hedge of an attempt in flight is due.
     *
     * @param totalWaitUs time that the job has waited since the request's first send, us
     * @param stalled whether the attempt's progress reports have stopped
     */
    boolean isDue(
            PendingRequest request,
            AttemptRecord attempt,
            double totalWaitUs,
            boolean stalled,
            long nowUs) {
        final boolean unstarted =
                settings.get().reportsJobStart()
                        && !attempt.hasReportedStart()
                        && totalWaitUs > UNSTARTED_SLACK_FRACTION * request.slackUs();
        return (stalled || unstarted || attempt.worker().isStalled(nowUs))
                && !request.isClosed()
                && request.hasOneAttemptInFlight();
    }

    /** Returns whether a hedge of an attempt may be sent now. */
    boolean isAllowed(PendingRequest request, AttemptRecord attempt, long nowUs) {
        return settings.get().limits().allowsHedging()
                && request.allowsHedging()
                && request.requestClass().idempotency() != Idempotency.UNSAFE
                && (!needsDeduplication(request)
                        || nowUs + RetryPolicy.WRITE_SLACK_US
                                < retries.deduplicatedUntilUs(request, attempt))
                && retries.allowsAttempt(request, nowUs);
    }

    /**
     * Returns whether workers must drop a duplicate of the hedge: the request is keyed, and its
     * attempt in flight is the first that may run.
     */
    boolean needsDeduplication(PendingRequest request) {
        return request.requestClass().idempotency() == Idempotency.KEYED && !request.mayHaveRun();
    }
}
