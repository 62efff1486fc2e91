package cresschute.dispatch;

/**
 * Decides whether the first byte of an attempt may be written now. An attempt is written long after
 * it was chosen if its connection comes up late, so what allowed it then is checked once more.
 *
 * <p>Inputs: the request's deadline in us; the idempotency and the deduplication window in us of
 * its class; the ends of its earlier attempts, and when those in flight were sent.
 *
 * <p>Rule: a safe request may be written until its deadline. A keyed request of which another
 * attempt may have run, or may yet, is written only within the deduplication window of the earliest
 * such attempt, less {@link RetryPolicy#WRITE_SLACK_US}. An unsafe one is not written at all then.
 *
 * <p>Guarantees: no attempt is written that could repeat an effect.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class SendPolicy {

    private final RetryPolicy retries;

    SendPolicy(RetryPolicy retries) {
        this.retries = retries;
    }

    /** Decides for an attempt in flight of which nothing is written yet. */
    SendDecision decide(PendingRequest request, AttemptRecord attempt, long nowUs) {
        if (request.isClosed()) {
            return SendDecision.REQUEST_CLOSED;
        }
        if (nowUs >= request.deadlineUs()) {
            return SendDecision.DEADLINE_PASSED;
        }
        return switch (request.requestClass().idempotency()) {
            case SAFE -> SendDecision.ALLOWED;
            case KEYED ->
                    nowUs + RetryPolicy.WRITE_SLACK_US < deduplicatedUntilUs(request, attempt)
                            ? SendDecision.ALLOWED
                            : SendDecision.WINDOW_PASSED;
            case UNSAFE ->
                    request.mayHaveRun() || !request.hasOneAttemptInFlight()
                            ? SendDecision.MAY_HAVE_RUN
                            : SendDecision.ALLOWED;
        };
    }

    /** The time until which the workers drop a duplicate of every other attempt, us. */
    private long deduplicatedUntilUs(PendingRequest request, AttemptRecord attempt) {
        long untilUs = request.mayHaveRun() ? request.deduplicatedUntilUs() : Long.MAX_VALUE;
        for (final AttemptRecord other : request.attemptsInFlight()) {
            if (other != attempt) {
                untilUs = Math.min(untilUs, retries.deduplicatedUntilUs(request, other));
            }
        }
        return untilUs;
    }
}
