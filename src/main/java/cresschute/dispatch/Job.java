package cresschute.dispatch;

/**
 * The properties of a request that are known at its arrival.
 *
 * @param requestClass number of its class in {@link DispatchSettings#classes}
 * @param tenant number of its tenant in {@link DispatchSettings#tenants}; ignored if the request
 *     has none
 * @param slots slots that the job takes while it runs; a value of 0 or less counts as 1
 * @param runningTimeHintUs expected running time at a worker of usual speed, us, or {@link
 *     #NO_HINT}
 * @param dataKey key of the data that the job needs, the same for all jobs on the same data, or
 *     {@link #NO_DATA}
 * @param clientRetry whether the client marked the request as a retry
 */
public record Job(
        int requestClass,
        int tenant,
        double slots,
        long runningTimeHintUs,
        long dataKey,
        boolean clientRetry) {

    /** The {@code dataKey} of a job that needs no data. */
    public static final long NO_DATA = 0;

    /** The {@code runningTimeHintUs} of a job without a hint. */
    public static final long NO_HINT = 0;
}
