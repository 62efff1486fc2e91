package cresschute.testbed;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations on command lines: a number and {@code ms}, {@code s} or {@code m}. */
public final class Durations {

    private static final Pattern FORM = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s|m)");

    private Durations() {}

    /**
     * Returns the duration in microseconds.
     *
     * @throws IllegalArgumentException if the text is not a duration
     */
    public static long parseUs(String text) {
        final Matcher matcher = FORM.matcher(text.strip());
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "'"
                            + text
                            + "' is not a duration; expected: a number and ms, s or m, "
                            + "such as 500ms");
        }
        final double unit =
                switch (matcher.group(2)) {
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    default -> 60e6;
                };
        return Math.round(Double.parseDouble(matcher.group(1)) * unit);
    }
}
