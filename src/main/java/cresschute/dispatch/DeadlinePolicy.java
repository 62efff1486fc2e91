package cresschute.dispatch;

/**
 * Decides when a request is given up, and whether it is then rejected or failed.
 *
 * <p>Inputs: the clock, the request's first send and deadline in us, its expected running time in
 * us, its idempotency, and whether an attempt may have run.
 *
 * <p>Rules:
 *
 * <ul>
 *   <li>an answer is in time until first send + latency objective + stretch * running time; no
 *       attempt is sent from then on, nor within two check intervals before the deadline;
 *   <li>an arriving request has as much less time left than the longest seen in its class as its
 *       first send is ago, if its client marks it as a retry, or if that is no more than the
 *       in-time bound and {@value #ADVISED_PAUSES} advised pauses; more than that is a client with
 *       a short timeout. So a new request with a somewhat shorter timeout than others of its class
 *       is taken for a retry, and given up at once where that makes it too old;
 *   <li>a request is rejected where a retry as advised does no harm: it is safe, or nothing ran, or
 *       all workers drop the retry within the deduplication window; else it is failed.
 * </ul>
 *
 * <p>Reason: an attempt that cannot be in time takes slots from those that can, and a client must
 * know whether it may retry.
 *
 * <p>Never: a request that may have run is not rejected where a retry could run it twice.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class DeadlinePolicy {

    /** The final answer to a request that is given up. */
    enum FinalReply {
        /** A retry does no harm. */
        REJECTED,
        /** It may have run. */
        FAILED
    }

    /** Bounds of the check interval, us. */
    private static final long MAX_CHECK_INTERVAL_US = 50_000;

    private static final long MIN_CHECK_INTERVAL_US = 5_000;

    /** Check intervals before the deadline in which nothing is sent. */
    private static final int MARGIN_INTERVALS = 2;

    /** Advised pauses that a retry may come after its request's in-time bound. */
    private static final int ADVISED_PAUSES = 2;

    private final CurrentSettings settings;
    private long checkIntervalUs;

    DeadlinePolicy(CurrentSettings settings) {
        this.settings = settings;
        settingsChanged();
    }

    /** Sets the check interval to half the tightest latency objective, within bounds. */
    void settingsChanged() {
        long tightestUs = 2 * MAX_CHECK_INTERVAL_US;
        for (final RequestClass requestClass : settings.get().classes()) {
            tightestUs = Math.min(tightestUs, requestClass.latencyObjectiveUs());
        }
        checkIntervalUs = Math.max(MIN_CHECK_INTERVAL_US, tightestUs / 2);
    }

    /** Time between two checks of the pending requests, us. */
    long checkIntervalUs() {
        return checkIntervalUs;
    }

    /** When a client sent an arriving request first, us; now, unless it is a retry. */
    long firstSentUs(ClassState classState, Job job, long deadlineUs, long nowUs) {
        final long leftUs = deadlineUs - nowUs;
        final long ageUs = classState.learnTimeout(leftUs) - leftUs;
        final long pausesUs = ADVISED_PAUSES * settings.get().limits().maxRetryAfterUs();
        final boolean isRetry =
                job.clientRetry()
                        || ageUs <= classState.inTimeUs(classState.runningTimeUs()) + pausesUs;
        return isRetry ? nowUs - ageUs : nowUs;
    }

    /** Whether an arriving request can no longer be answered in time. */
    boolean isTooOld(PendingRequest request, long nowUs) {
        return nowUs - request.firstSentUs() > request.inTimeUs();
    }

    /** Whether it is too late for another attempt. */
    boolean isTooLateForAttempt(PendingRequest request, long nowUs) {
        return nowUs
                >= Math.min(
                        request.firstSentUs() + request.inTimeUs(),
                        request.deadlineUs() - MARGIN_INTERVALS * checkIntervalUs);
    }

    /** Whether the client gives up before its answer would be late. */
    boolean hasShortDeadline(PendingRequest request) {
        return request.deadlineUs() < request.firstSentUs() + request.inTimeUs();
    }

    /** The answer to a request that is given up now. */
    FinalReply replyTo(PendingRequest request, long nowUs) {
        final Idempotency idempotency = request.requestClass().idempotency();
        final boolean allDropRetry =
                idempotency == Idempotency.KEYED
                        && !request.isBoundToGroup()
                        && nowUs + retryAfterUs() < request.deduplicatedUntilUs();
        return idempotency == Idempotency.SAFE || !request.mayHaveRun() || allDropRetry
                ? FinalReply.REJECTED
                : FinalReply.FAILED;
    }

    /** Pause that a rejected client is advised, us; 0 for no advice. */
    long retryAfterUs() {
        return settings.get().limits().maxRetryAfterUs();
    }
}
