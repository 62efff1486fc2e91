package cresschute.dispatch;

/** Tells what of a tenant's traffic is within its share, by this dispatcher's even part of it. */
final class QuotaMeter {
    /** A saved share, us, and the least of it, requests: covers chance bunching of arrivals. */
    private static final double BURST_US = 2_000_000;

    private static final double BURST = 3;

    final double quotaPerUs;
    double saved;
    long seenUs;

    QuotaMeter(double quotaPerUs) {
        this.quotaPerUs = quotaPerUs;
    }

    /** Takes so many requests' worth of the share; false where not one is left. */
    boolean take(long nowUs, int requests) {
        final double max = Math.max(BURST, quotaPerUs * BURST_US);
        saved = Math.min(max, saved + (nowUs - seenUs) * quotaPerUs);
        seenUs = nowUs;
        final boolean within = saved >= 1;
        saved -= within ? requests : 0;
        return within;
    }
}
