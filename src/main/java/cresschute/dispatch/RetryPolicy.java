package cresschute.dispatch;

import java.util.Optional;

/**
 * Decides whether another attempt of a request may be sent, by the idempotency of its class.
 *
 * <p>Inputs: the attempts sent and their outcomes, the class's idempotency, deduplication scope and
 * window in us, the limits in force and those at the request's arrival.
 *
 * <p>Rule: a safe request may always be sent again; a keyed one that may have run only within the
 * window, counted from the send of the first attempt that may have run, and to workers that drop a
 * duplicate of it; an unsafe one only while nothing may have run. Attempts stay within the lower of
 * both limits, and {@link DeadlinePolicy} leaves time for them.
 *
 * <p>Reason: an attempt that ended without an answer may still take effect.
 *
 * <p>Never: it does not allow an attempt that could have an effect twice, and it does not take a
 * rejection as full for proof that nothing ran where a worker may shed what it had begun.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class RetryPolicy {

    private final CurrentSettings settings;
    private final WorkerIndex workers;
    private final DeadlinePolicy deadlines;

    RetryPolicy(CurrentSettings settings, WorkerIndex workers, DeadlinePolicy deadlines) {
        this.settings = settings;
        this.workers = workers;
        this.deadlines = deadlines;
    }

    /** Whether another attempt may be sent now. */
    boolean allowsAttempt(PendingRequest request, long nowUs) {
        return isHarmless(request, nowUs)
                && request.attemptsSent() < maxAttempts(request)
                && !deadlines.isTooLateForAttempt(request, nowUs);
    }

    private static boolean isHarmless(PendingRequest request, long nowUs) {
        return switch (request.requestClass().idempotency()) {
            case SAFE -> true;
            case KEYED -> !request.mayHaveRun() || nowUs < request.deduplicatedUntilUs();
            case UNSAFE -> !request.mayHaveRun();
        };
    }

    private int maxAttempts(PendingRequest request) {
        return Math.min(settings.get().limits().maxAttempts(), request.maxAttempts());
    }

    /** Whether an attempt with this outcome may have had its effect. */
    boolean mayHaveRun(Outcome outcome) {
        return switch (outcome) {
            case CONNECT_FAILED, NOT_SENT -> false;
            case FULL -> settings.get().fullMayHaveRun();
            default -> true;
        };
    }

    /** Notes that an attempt may have had its effect, which bounds all further ones. */
    void markMayHaveRun(PendingRequest request, AttemptRecord attempt) {
        final RequestClass requestClass = request.requestClass();
        request.markMayHaveRun(
                deduplicatedUntilUs(request, attempt),
                requestClass.idempotency() == Idempotency.KEYED
                        ? deduplicationGroup(request, attempt)
                        : Optional.empty());
    }

    /** Until when a duplicate of an attempt is dropped, us. */
    long deduplicatedUntilUs(PendingRequest request, AttemptRecord attempt) {
        return attempt.sentUs() + request.requestClass().deduplicationWindowUs();
    }

    /** The workers that drop a duplicate of an attempt; empty where all do. */
    Optional<WorkerGroup> deduplicationGroup(PendingRequest request, AttemptRecord attempt) {
        return workers.deduplicationGroup(request.requestClass(), attempt.worker().endpoint());
    }
}
