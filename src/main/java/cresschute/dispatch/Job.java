package cresschute.dispatch;

/**
 * What is known of a request when it arrives.
 *
 * @param tenant ignored where there are none
 * @param slots slots that it takes while it runs
 * @param runningTimeHintUs expected running time at speed 1, or 0 where nothing tells
 * @param dataKey what it concerns; jobs of one key need the same data at their worker. 0: nothing
 * @param clientRetry set where clients mark their retries
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

    /** The {@code runningTimeHintUs} of a job whose running time nothing says. */
    public static final long NO_HINT = 0;
}
