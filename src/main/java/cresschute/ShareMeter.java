package cresschute;

/** Tells what of a tenant's traffic is within its share, by this dispatcher's even part of it. */
final class ShareMeter {
    final double quotaPerUs;
    double saved;
    long seenUs;

    ShareMeter(double quotaPerUs) {
        this.quotaPerUs = quotaPerUs;
    }

    /** Takes so many requests' worth of the share; false where not one is left. */
    boolean take(long nowUs, double burstUs, double burst, int requests) {
        final double most = Math.max(burst, quotaPerUs * burstUs);
        saved = Math.min(most, saved + (nowUs - seenUs) * quotaPerUs);
        seenUs = nowUs;
        final boolean within = saved >= 1;
        saved -= within ? requests : 0;
        return within;
    }
}
