package cresschute.dispatch;

import java.util.Optional;

/**
 * Decides whether another attempt of a request may be sent, depending on the idempotency of its
 * class.
 *
 * <p>Inputs: the attempts sent and their outcomes; the class's idempotency, deduplication scope and
 * window in us; the current attempt limits and those at the request's arrival.
 *
 * <p>Rule: a safe request may always be retried. A keyed request that may have run is retried only
 * within the deduplication window, which starts at the send of the first attempt that may have run,
 * less {@link #WRITE_SLACK_US}, and only at workers that drop its duplicate. An unsafe request is
 * retried only if no attempt may have run. The lower of both attempt limits applies, and {@link
 * DeadlinePolicy} must leave time for the attempt.
 *
 * <p>Reason: an attempt that ended without an answer may still have its effect.
 *
 * <p>Guarantees: it never allows an attempt that could repeat an effect. A rejection as full is not
 * proof that nothing ran if {@link DispatchSettings#fullMayHaveRun}.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class RetryPolicy {

    /** How long a process may be held up between a reading of the clock and a write, us. */
    static final long WRITE_SLACK_US = 150_000;

    private final CurrentSettings settings;
    private final WorkerIndex workers;
    private final DeadlinePolicy deadlines;

    RetryPolicy(CurrentSettings settings, WorkerIndex workers, DeadlinePolicy deadlines) {
        this.settings = settings;
        this.workers = workers;
        this.deadlines = deadlines;
    }

    /** Returns whether another attempt may be sent now. */
    boolean allowsAttempt(PendingRequest request, long nowUs) {
        return isHarmless(request, nowUs)
                && request.attemptsSent() < maxAttempts(request)
                && !deadlines.isTooLateForAttempt(request, nowUs);
    }

    private static boolean isHarmless(PendingRequest request, long nowUs) {
        return switch (request.requestClass().idempotency()) {
            case SAFE -> true;
            case KEYED ->
                    !request.mayHaveRun() || nowUs + WRITE_SLACK_US < request.deduplicatedUntilUs();
            case UNSAFE -> !request.mayHaveRun();
        };
    }

    private int maxAttempts(PendingRequest request) {
        return Math.min(settings.get().limits().maxAttempts(), request.maxAttempts());
    }

    /** Returns whether an attempt with this outcome may have had its effect. */
    boolean mayHaveRun(Outcome outcome) {
        return switch (outcome) {
            case CONNECT_FAILED, NOT_SENT -> false;
            case FULL -> settings.get().fullMayHaveRun();
            default -> true;
        };
    }

    /** Records that an attempt may have had its effect, which restricts all further attempts. */
    void markMayHaveRun(PendingRequest request, AttemptRecord attempt) {
        final RequestClass requestClass = request.requestClass();
        request.markMayHaveRun(
                deduplicatedUntilUs(request, attempt),
                requestClass.idempotency() == Idempotency.KEYED
                        ? deduplicationGroup(request, attempt)
                        : Optional.empty());
    }

    /** Returns the time until which a duplicate of an attempt is dropped, us. */
    long deduplicatedUntilUs(PendingRequest request, AttemptRecord attempt) {
        return attempt.sentUs() + request.requestClass().deduplicationWindowUs();
    }

    /** Returns the workers that drop a duplicate of an attempt; empty if all workers do. */
    Optional<WorkerGroup> deduplicationGroup(PendingRequest request, AttemptRecord attempt) {
        return workers.deduplicationGroup(request.requestClass(), attempt.worker().endpoint());
    }
}
