package cresschute.node.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How long a client waits: a number and a unit, m for milliseconds or u for microseconds. */
final class DeadlineHeader {

    private static final Pattern FORM = Pattern.compile("([0-9]{1,12})(?:\\.([0-9]{1,9}))?([mu])");
    private static final long MAX_US = 3_600_000_000L;

    private DeadlineHeader() {}

    /** The time in microseconds, an hour at the most, or -1 where the text is none. */
    static long parseUs(String text) {
        final Matcher matcher = FORM.matcher(text.strip());
        if (!matcher.matches()) {
            return -1;
        }
        final String fraction = matcher.group(2) == null ? "0" : matcher.group(2);
        final double value = Double.parseDouble(matcher.group(1) + "." + fraction);
        return (long) Math.min(MAX_US, matcher.group(3).equals("m") ? value * 1000 : value);
    }

    /** The header's form of a time. */
    static String format(long us) {
        return Math.max(0, us) + "u";
    }
}
