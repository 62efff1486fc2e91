package cresschute.dispatch;

/**
 * A class of requests.
 *
 * @param priorityWeight value of one request answered in time, at least 0
 * @param latencyObjectiveUs an answer is in time within this plus {@code latencyObjectiveStretch}
 *     times the job's running time, us; above 0
 * @param latencyObjectiveStretch at least 0
 * @param deadlineUs when clients give up, us after their send; above 0
 * @param idempotency what a duplicate may do
 * @param deduplicationScope the workers among which a duplicate of a keyed request is dropped
 * @param deduplicationWindowUs how long it is dropped, us from the first send that may have run; at
 *     least 0
 * @param placement the only workers that requests may be sent to
 * @param maxAttempts attempts of one request, within those of {@link AttemptLimits}; at least 1
 */
public record RequestClass(
        double priorityWeight,
        long latencyObjectiveUs,
        double latencyObjectiveStretch,
        long deadlineUs,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        Placement placement,
        int maxAttempts) {

    /** The {@code maxAttempts} of a class without a limit of its own. */
    public static final int UNLIMITED_ATTEMPTS = Integer.MAX_VALUE;

    /** A class without a limit of its own on attempts. */
    public RequestClass(
            double priorityWeight,
            long latencyObjectiveUs,
            double latencyObjectiveStretch,
            long deadlineUs,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs,
            Placement placement) {
        this(
                priorityWeight,
                latencyObjectiveUs,
                latencyObjectiveStretch,
                deadlineUs,
                idempotency,
                deduplicationScope,
                deduplicationWindowUs,
                placement,
                UNLIMITED_ATTEMPTS);
    }

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the first value that is missing or out of bounds
     */
    public RequestClass {
        Preconditions.require(maxAttempts >= 1, "class maxAttempts");
        Preconditions.require(priorityWeight >= 0, "class priorityWeight");
        Preconditions.require(latencyObjectiveUs > 0, "class latencyObjectiveUs");
        Preconditions.require(latencyObjectiveStretch >= 0, "class latencyObjectiveStretch");
        Preconditions.require(deadlineUs > 0, "class deadlineUs");
        Preconditions.require(idempotency != null, "class idempotency");
        Preconditions.require(deduplicationScope != null, "class deduplicationScope");
        Preconditions.require(deduplicationWindowUs >= 0, "class deduplicationWindowUs");
        Preconditions.require(placement != null, "class placement");
    }
}
