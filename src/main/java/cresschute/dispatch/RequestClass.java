package cresschute.dispatch;

/**
 * A class of requests.
 *
 * @param priorityWeight value of one request that is answered in time, at least 0
 * @param latencyObjectiveUs an answer is in time within this time plus {@code
 *     latencyObjectiveStretch} times the job's running time, us; above 0
 * @param latencyObjectiveStretch factor on the job's running time in the latency objective, at
 *     least 0
 * @param deadlineUs time after their send at which clients give up, us; above 0
 * @param idempotency effect of a duplicate
 * @param deduplicationScope the workers that drop a duplicate of a keyed request
 * @param deduplicationWindowUs time for which they drop it, us from the first send that may have
 *     run; at least 0
 * @param placement the workers that requests may be sent to
 * @param maxAttempts maximum number of attempts of one request, at least 1; {@link AttemptLimits}
 *     may set a lower one
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

    /** The {@code maxAttempts} of a class without its own limit. */
    public static final int UNLIMITED_ATTEMPTS = Integer.MAX_VALUE;

    /** Creates a class without its own limit on attempts. */
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
     * @throws IllegalArgumentException if a value is missing or out of bounds; the message names
     *     the first such value
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
