package cresschute.dispatch;

/**
 * Limits on the attempts of every request.
 *
 * @param maxAttempts maximum number of attempts of one request, at least 1
 * @param maxRetryAfterUs longest Retry-After time that a rejected client may get, us; the
 *     dispatcher advises exactly this time; 0 if clients do not support it
 * @param allowsHedging whether a request may have two attempts in flight
 */
public record AttemptLimits(int maxAttempts, long maxRetryAfterUs, boolean allowsHedging) {

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if {@code maxAttempts} is below 1 or {@code maxRetryAfterUs}
     *     is negative
     */
    public AttemptLimits {
        Preconditions.require(maxAttempts >= 1, "limits maxAttempts");
        Preconditions.require(maxRetryAfterUs >= 0, "limits maxRetryAfterUs");
    }
}
