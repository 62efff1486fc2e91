package cresschute.dispatch;

/**
 * What the host allows. {@code maxRetryAfterUs} is 0 where clients take no advice; {@code
 * allowsHedging} tells whether a request may be out twice at a time.
 */
public record AttemptLimits(int maxAttempts, long maxRetryAfterUs, boolean allowsHedging) {
    public AttemptLimits {
        Preconditions.require(maxAttempts >= 1, "limits maxAttempts");
        Preconditions.require(maxRetryAfterUs >= 0, "limits maxRetryAfterUs");
    }
}
