package cresschute.dispatch;

/**
 * Decides whether a request may run at a second worker beside its attempt in flight: a hedged
 * request.
 *
 * <p>Inputs: how long the request has waited and may wait in us, whether its attempt or the worker
 * is stalled, the class's idempotency and deduplication window in us, and the limits.
 *
 * <p>Rule: a hedge is due where progress reports have stopped, or where a job has not started after
 * {@value #UNSTARTED_SLACK_FRACTION} of the time that it may wait. It is allowed to safe requests,
 * and to keyed ones within the deduplication window, where {@link RetryPolicy} allows an attempt.
 *
 * <p>Reason: a wait behind other dispatchers' jobs is not seen beforehand, and the job may start
 * sooner elsewhere.
 *
 * <p>Never: an unsafe request is not hedged, a keyed one does not leave the workers that drop its
 * duplicate, and no request has more than two attempts in flight.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class HedgingPolicy {

    /** Part of the time that a job may wait after which it is hedged if it has not started. */
    private static final double UNSTARTED_SLACK_FRACTION = 0.5;

    private final CurrentSettings settings;
    private final RetryPolicy retries;

    HedgingPolicy(CurrentSettings settings, RetryPolicy retries) {
        this.settings = settings;
        this.retries = retries;
    }

    /**
     * Whether an attempt in flight calls for a hedge.
     *
     * @param totalWaitUs how long the job has waited since the request's first send, us
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

    /** Whether a hedge of an attempt may be sent now. */
    boolean isAllowed(PendingRequest request, AttemptRecord attempt, long nowUs) {
        return settings.get().limits().allowsHedging()
                && request.allowsHedging()
                && request.requestClass().idempotency() != Idempotency.UNSAFE
                && (!needsDeduplication(request)
                        || nowUs < retries.deduplicatedUntilUs(request, attempt))
                && retries.allowsAttempt(request, nowUs);
    }

    /** Whether its attempt in flight is the first that may run, and workers must drop a hedge. */
    boolean needsDeduplication(PendingRequest request) {
        return request.requestClass().idempotency() == Idempotency.KEYED && !request.mayHaveRun();
    }
}
