package cresschute.node.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The value of {@code X-Deadline}: a number and its unit, m for milliseconds, u for microseconds.
 */
final class DeadlineHeader {

    /** The result of {@link #parseUs} for an invalid value. */
    static final long INVALID = -1;

    private static final Pattern FORM = Pattern.compile("([0-9]{1,12})(?:\\.([0-9]{1,9}))?([mu])");

    /** The longest time, us: one hour. */
    private static final long MAX_US = 3_600_000_000L;

    private DeadlineHeader() {}

    /**
     * Parses a value.
     *
     * @return the time in microseconds, capped at one hour; {@link #INVALID} if the text is no
     *     valid time
     */
    static long parseUs(String text) {
        final Matcher matcher = FORM.matcher(text.strip());
        if (!matcher.matches()) {
            return INVALID;
        }
        final String fraction = matcher.group(2) == null ? "0" : matcher.group(2);
        final double value = Double.parseDouble(matcher.group(1) + "." + fraction);
        return (long) Math.min(MAX_US, matcher.group(3).equals("m") ? value * 1000 : value);
    }

    /** Formats a time in microseconds; a negative time as 0. */
    static String format(long us) {
        return Math.max(0, us) + "u";
    }
}
