package cresschute.dispatch;

/**
 * Token bucket of one tenant at this dispatcher. It determines whether a request is within this
 * dispatcher's share of the tenant's quota.
 */
final class QuotaMeter {

    /** Time over which unused quota accumulates, us. */
    private static final double BURST_US = 2_000_000;

    /** Minimum bucket size, requests; arrivals bunch by chance. */
    private static final double MIN_BURST = 3;

    /**
     * Factor on an even share of the quota, because traffic is not spread evenly over the
     * dispatchers.
     */
    private static final double UNEVEN_TRAFFIC_FACTOR = 1.5;

    private final double quotaPerUs;
    private double tokens;
    private long refilledAtUs;

    /**
     * Creates a bucket that is empty at time 0 of the clock and is filled by the first {@link
     * #take}.
     *
     * @param quotaPerUs quota of this dispatcher, requests per us
     */
    QuotaMeter(double quotaPerUs) {
        this.quotaPerUs = quotaPerUs;
    }

    /** Returns the meter of a tenant at one of {@code dispatchers}. */
    static QuotaMeter of(Tenant tenant, int dispatchers) {
        return new QuotaMeter(UNEVEN_TRAFFIC_FACTOR * tenant.quotaPerS() / dispatchers / 1e6);
    }

    /**
     * Takes the tokens of an arrival if at least one token is left.
     *
     * @param requests tokens to take; 0 for a retry, because the first send has taken one
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
