package cresschute.dispatch;

/**
 * Token bucket of one tenant at this dispatcher: says whether a request is within the tenant's
 * quota, by the dispatcher's even part of it.
 */
final class QuotaMeter {

    /** Quota that may be saved up, us. */
    private static final double BURST_US = 2_000_000;

    /** Least that may be saved up, requests: arrivals bunch by chance. */
    private static final double MIN_BURST = 3;

    /** Factor on an even part: traffic is not spread evenly over the dispatchers. */
    private static final double UNEVEN_TRAFFIC_FACTOR = 1.5;

    private final double quotaPerUs;
    private double tokens;
    private long refilledAtUs;

    /**
     * An empty bucket.
     *
     * @param quotaPerUs requests a us
     */
    QuotaMeter(double quotaPerUs) {
        this.quotaPerUs = quotaPerUs;
    }

    /** The meter of a tenant at one of {@code dispatchers}. */
    static QuotaMeter of(Tenant tenant, int dispatchers) {
        return new QuotaMeter(UNEVEN_TRAFFIC_FACTOR * tenant.quotaPerS() / dispatchers / 1e6);
    }

    /**
     * Takes the tokens of an arrival if a whole one is left.
     *
     * @param requests tokens to take; 0 for a retry of a request that took its own
     * @return whether the arrival is within the quota
     */
    boolean take(long nowUs, int requests) {
        final double max = Math.max(MIN_BURST, quotaPerUs * BURST_US);
        tokens = Math.min(max, tokens + (nowUs - refilledAtUs) * quotaPerUs);
        refilledAtUs = nowUs;
        final boolean within = tokens >= 1;
        tokens -= within ? requests : 0;
        return within;
    }
}
