package cresschute.node.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The value of {@code X-Deadline}: a number and its unit, m for milliseconds, u for microseconds.
 */
final class DeadlineHeader {

    /** What {@link #parseUs} returns for a value that is no time. */
    static final long INVALID = -1;

    private static final Pattern FORM = Pattern.compile("([0-9]{1,12})(?:\\.([0-9]{1,9}))?([mu])");

    /** The longest time, us: an hour. */
    private static final long MAX_US = 3_600_000_000L;

    private DeadlineHeader() {}

    /**
     * Parses a value.
     *
     * @return the time, us, from 0 to an hour; longer ones count as an hour; {@link #INVALID} where
     *     the text is no time
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

    /** Formats a time, us; a negative one as 0. */
    static String format(long us) {
        return Math.max(0, us) + "u";
    }
}
