package cresschute.node.http;

/** The value of {@code Retry-After}: whole seconds, or seconds with three decimal digits. */
final class RetryAfterHeader {

    private static final long US_PER_MS = 1_000;
    private static final long MS_PER_S = 1_000;

    private RetryAfterHeader() {}

    /**
     * Formats a time in microseconds, rounded up to a millisecond so that no client retries too
     * early.
     */
    static String format(long us) {
        final long ms = (us + US_PER_MS - 1) / US_PER_MS;
        final long fractionMs = ms % MS_PER_S;
        final long seconds = ms / MS_PER_S;
        return fractionMs == 0
                ? Long.toString(seconds)
                : seconds + "." + Long.toString(MS_PER_S + fractionMs).substring(1);
    }
}
