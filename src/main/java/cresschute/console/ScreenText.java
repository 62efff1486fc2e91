package cresschute.console;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import cresschute.console.ScreenView.ScreenFormat;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStringBuilder;
import org.jline.utils.AttributedStyle;

/** Formats numbers and text for the cells and lines of the screen. */
final class ScreenText {

    private static final String SPARKLINE_LEVELS = " ▁▂▃▄▅▆▇█";
    private static final String ASCII_SPARKLINE_LEVELS = " .:-=+*%#";
    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("HH:mm:ss", Locale.ROOT);
    private static final long MS_PER_SECOND = 1_000;
    private static final long SECONDS_PER_MINUTE = 60;
    private static final long SECONDS_PER_HOUR = 3_600;

    /**
     * A column of a table.
     *
     * @param width in characters
     * @param left whether the column is left-aligned
     * @param minColumns narrowest screen that shows the column, in characters
     */
    record Column(String title, int width, boolean left, int minColumns) {}

    private ScreenText() {}

    static AttributedString line(String text, AttributedStyle style, ScreenFormat format) {
        return fit(new AttributedString(text, style), style, format);
    }

    /** Cuts or pads text to the screen's width; wide characters count as two columns. */
    static AttributedString fit(AttributedString text, AttributedStyle style, ScreenFormat format) {
        final AttributedString truncated = text.columnSubSequence(0, format.columns());
        final int padding = format.columns() - truncated.columnLength();
        return padding <= 0
                ? truncated
                : new AttributedStringBuilder()
                        .append(truncated)
                        .styled(style, " ".repeat(padding))
                        .toAttributedString();
    }

    static String pad(String text, Column column) {
        final AttributedString attributed = new AttributedString(text);
        final String truncated =
                attributed.columnLength() <= column.width()
                        ? text
                        : attributed.columnSubSequence(0, column.width() - 1) + "~";
        final String padding =
                " "
                        .repeat(
                                Math.max(
                                        0,
                                        column.width()
                                                - new AttributedString(truncated).columnLength()));
        return column.left() ? truncated + padding : padding + truncated;
    }

    /**
     * Replaces control and format characters by question marks: names and reasons come from outside
     * and must not move the cursor.
     */
    static String replaceControlCharacters(String text) {
        final StringBuilder out = new StringBuilder();
        text.codePoints()
                .forEach(
                        each ->
                                out.appendCodePoint(
                                        Character.isISOControl(each)
                                                        || Character.getType(each)
                                                                == Character.FORMAT
                                                ? '?'
                                                : each));
        return out.toString();
    }

    static String ms(double ms) {
        return ms < 0
                ? "-"
                : ms < 9_950 ? Math.round(ms) + "ms" : Math.round(ms / MS_PER_SECOND) + "s";
    }

    static String count(double count) {
        return count < 0 ? "-" : String.valueOf(Math.round(count));
    }

    static String age(long ms) {
        final long s = Math.max(0, ms) / MS_PER_SECOND;
        return s < 2 * SECONDS_PER_MINUTE
                ? s + "s"
                : s < 2 * SECONDS_PER_HOUR
                        ? s / SECONDS_PER_MINUTE + "m"
                        : s / SECONDS_PER_HOUR + "h";
    }

    static String clock(long ms, ScreenFormat format) {
        return CLOCK.format(Instant.ofEpochMilli(ms).atZone(format.zone()));
    }

    static String sparkline(JsonArray counts, ScreenFormat format) {
        final String scale = format.unicode() ? SPARKLINE_LEVELS : ASCII_SPARKLINE_LEVELS;
        int max = 1;
        for (final JsonElement count : counts) {
            max = Math.max(max, count.getAsInt());
        }
        final StringBuilder out = new StringBuilder();
        for (final JsonElement count : counts) {
            out.append(scale.charAt((int) Math.ceil(count.getAsInt() * 8.0 / max)));
        }
        return out.toString();
    }
}
