package cresschute.node.http;

/** The header's form of a time: seconds, whole or decimal. */
final class RetryAfterHeader {

    private static final long MS = 1_000;

    private RetryAfterHeader() {}

    /** Rounded up to a millisecond, so that nobody comes back too early. */
    static String format(long us) {
        final long ms = (us + MS - 1) / MS;
        final long rest = ms % MS;
        return rest == 0
                ? Long.toString(ms / MS)
                : ms / MS + "." + Long.toString(MS + rest).substring(1);
    }
}
