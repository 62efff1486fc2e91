package cresschute.dispatch;

/**
 * A class of requests.
 *
 * @param priorityWeight value of one request answered in time
 * @param latencyObjectiveUs an answer is in time within this plus {@code latencyObjectiveStretch}
 *     times the job's running time
 * @param deadlineUs when clients give up
 * @param deduplicationWindowUs keyed: how long repeats are dropped, from the first send that might
 *     have run
 * @param placement the only workers that it may be sent to
 * @param maxAttempts sends for one request at the most, within those that {@link AttemptLimits}
 *     allow
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

    /** A class with no bound of its own on attempts. */
    public RequestClass(
            double priorityWeight,
            long latencyObjectiveUs,
            double latencyObjectiveStretch,
            long deadlineUs,
            Idempotency effect,
            DeduplicationScope scope,
            long repeatWindowUs,
            Placement placement) {
        this(
                priorityWeight,
                latencyObjectiveUs,
                latencyObjectiveStretch,
                deadlineUs,
                effect,
                scope,
                repeatWindowUs,
                placement,
                Integer.MAX_VALUE);
    }

    public RequestClass {
        Preconditions.require(maxAttempts >= 1, "class maxAttempts");
        Preconditions.require(priorityWeight >= 0, "class worth");
        Preconditions.require(latencyObjectiveUs > 0, "class aimUs");
        Preconditions.require(latencyObjectiveStretch >= 0, "class aimStretch");
        Preconditions.require(deadlineUs > 0, "class deadlineUs");
        Preconditions.require(idempotency != null, "class effect");
        Preconditions.require(deduplicationScope != null, "class scope");
        Preconditions.require(deduplicationWindowUs >= 0, "class repeatWindowUs");
        Preconditions.require(placement != null, "class placement");
    }
}
