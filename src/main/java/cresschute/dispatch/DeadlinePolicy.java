package cresschute.dispatch;

import java.util.List;
import java.util.Set;

/**
 * Decides when a request is given up, and whether it is then rejected or failed.
 *
 * <p>Inputs: the clock, the request's first send and deadline in us, its expected running time in
 * us, its idempotency, its client's retry mark, whether an attempt may have run, the end of its
 * deduplication window and whether all workers drop a duplicate; the Retry-After time in us; and
 * the longest timeout of the class so far in us.
 *
 * <p>Rules:
 *
 * <ul>
 *   <li>an answer is in time until first send + latency objective + stretch * running time; no
 *       attempt is sent from that time on, nor within two check intervals before the deadline;
 *   <li>the age of an arriving request is the longest time until the deadline of any request of its
 *       class at its arrival, minus this request's time until its deadline. The request counts as a
 *       retry whose first send was that age ago if its client marks it as a retry, or if the age is
 *       at most the in-time bound of the class plus {@value #ADVISED_PAUSES} Retry-After times. A
 *       greater age without the mark means a client with a short timeout. Consequence: a new
 *       request whose timeout is somewhat shorter than that of others of its class is treated as a
 *       retry, and is given up at once if that makes it too old;
 *   <li>a request is rejected if a retry after the advised time does no harm: the request is safe,
 *       or nothing ran, or all workers drop a duplicate and the advised time ends before the
 *       deduplication window. Otherwise the request is failed.
 * </ul>
 *
 * <p>Reason: an attempt that cannot be in time takes slots from attempts that can, and a client
 * must know whether it may retry.
 *
 * <p>Guarantees: a request that may have run is never rejected if a retry could run it twice.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class DeadlinePolicy {

    /** Final answer to a request that is given up. */
    enum FinalReply {
        /** The request did not run, or a retry does no harm. */
        REJECTED,
        /** The request may have run, and a retry may do harm. */
        FAILED
    }

    /** Upper bound of the check interval, us. */
    private static final long MAX_CHECK_INTERVAL_US = 50_000;

    private static final long MIN_CHECK_INTERVAL_US = 5_000;

    /** Number of check intervals before the deadline in which no attempt is sent. */
    private static final int MARGIN_INTERVALS = 2;

    /**
     * Number of Retry-After times after the in-time bound within which an unmarked request counts
     * as a retry.
     */
    private static final int ADVISED_PAUSES = 2;

    private final CurrentSettings settings;
    private long checkIntervalUs;

    DeadlinePolicy(CurrentSettings settings) {
        this.settings = settings;
        settingsChanged(Set.of());
    }

    /**
     * Sets the check interval to half the tightest latency objective, within bounds.
     *
     * @param retired the numbers of the classes that do not count
     */
    void settingsChanged(Set<Integer> retired) {
        final List<RequestClass> classes = settings.get().classes();
        long tightestUs = 2 * MAX_CHECK_INTERVAL_US;
        for (int number = 0; number < classes.size(); number++) {
            if (!retired.contains(number)) {
                tightestUs = Math.min(tightestUs, classes.get(number).latencyObjectiveUs());
            }
        }
        checkIntervalUs = Math.max(MIN_CHECK_INTERVAL_US, tightestUs / 2);
    }

    /** Interval between two checks of the pending requests, us. */
    long checkIntervalUs() {
        return checkIntervalUs;
    }

    /**
     * Time of the client's first send of an arriving request, us; {@code nowUs} unless it counts as
     * a retry.
     */
    long firstSentUs(ClassState classState, Job job, long deadlineUs, long nowUs) {
        final long leftUs = deadlineUs - nowUs;
        final long ageUs = classState.learnTimeout(leftUs) - leftUs;
        final long pausesUs = ADVISED_PAUSES * settings.get().limits().maxRetryAfterUs();
        final boolean isRetry =
                job.clientRetry()
                        || ageUs <= classState.inTimeUs(classState.runningTimeUs()) + pausesUs;
        return isRetry ? nowUs - ageUs : nowUs;
    }

    /** Returns whether an arriving request can no longer be answered in time. */
    boolean isTooOld(PendingRequest request, long nowUs) {
        return nowUs - request.firstSentUs() > request.inTimeUs();
    }

    /** Returns whether it is too late for another attempt. */
    boolean isTooLateForAttempt(PendingRequest request, long nowUs) {
        return nowUs
                >= Math.min(
                        request.firstSentUs() + request.inTimeUs(),
                        request.deadlineUs() - MARGIN_INTERVALS * checkIntervalUs);
    }

    /** Returns whether the client gives up before an answer would be late. */
    boolean hasShortDeadline(PendingRequest request) {
        return request.deadlineUs() < request.firstSentUs() + request.inTimeUs();
    }

    /** Returns the final answer to a request that is given up now. */
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

    /** Retry-After time for a rejected client, us; 0 for no advice. */
    long retryAfterUs() {
        return settings.get().limits().maxRetryAfterUs();
    }
}
