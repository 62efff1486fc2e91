package cresschute.dispatch;

/**
 * What is known of a request when it arrives.
 *
 * @param requestClass number of its class in {@link DispatchSettings#classes}
 * @param tenant number of its tenant in {@link DispatchSettings#tenants}; ignored where it has none
 * @param slots slots that it takes while it runs; 1 is taken where it is not above 0
 * @param runningTimeHintUs expected running time at the usual pace, us, or {@link #NO_HINT}
 * @param dataKey what data it needs, the same for all jobs on the same data, or {@link #NO_DATA}
 * @param clientRetry whether its client marked it as a retry
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
