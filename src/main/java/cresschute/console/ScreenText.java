package cresschute.console;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import cresschute.console.ScreenView.Look;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStringBuilder;
import org.jline.utils.AttributedStyle;

/** Formats figures and text for the cells and lines of a screen. */
final class ScreenText {

    private static final String SPARKS = " ▁▂▃▄▅▆▇█";
    private static final String PLAIN_SPARKS = " .:-=+*%#";
    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("HH:mm:ss", Locale.ROOT);
    private static final long S_MS = 1_000;
    private static final long MINUTE_S = 60;
    private static final long HOUR_S = 3_600;

    /**
     * A column of a table.
     *
     * @param width in characters
     * @param left whether it is aligned to the left
     * @param minColumns width of the screen from which on it is shown
     */
    record Column(String title, int width, boolean left, int minColumns) {}

    private ScreenText() {}

    static AttributedString line(String text, AttributedStyle style, Look look) {
        return fit(new AttributedString(text, style), style, look);
    }

    /** As wide as the screen, by the columns that characters take there. */
    static AttributedString fit(AttributedString text, AttributedStyle style, Look look) {
        final AttributedString cut = text.columnSubSequence(0, look.columns());
        final int missing = look.columns() - cut.columnLength();
        return missing <= 0
                ? cut
                : new AttributedStringBuilder()
                        .append(cut)
                        .styled(style, " ".repeat(missing))
                        .toAttributedString();
    }

    static String pad(String text, Column column) {
        final AttributedString full = new AttributedString(text);
        final String cut =
                full.columnLength() <= column.width()
                        ? text
                        : full.columnSubSequence(0, column.width() - 1) + "~";
        final String gap =
                " ".repeat(Math.max(0, column.width() - new AttributedString(cut).columnLength()));
        return column.left() ? cut + gap : gap + cut;
    }

    /**
     * Replaces control characters: names and reasons come from others and must not move the cursor.
     */
    static String clean(String text) {
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
        return ms < 0 ? "-" : ms < 9_950 ? Math.round(ms) + "ms" : Math.round(ms / S_MS) + "s";
    }

    static String count(double count) {
        return count < 0 ? "-" : String.valueOf(Math.round(count));
    }

    static String age(long ms) {
        final long s = Math.max(0, ms) / S_MS;
        return s < 2 * MINUTE_S ? s + "s" : s < 2 * HOUR_S ? s / MINUTE_S + "m" : s / HOUR_S + "h";
    }

    static String clock(long ms, Look look) {
        return CLOCK.format(Instant.ofEpochMilli(ms).atZone(look.zone()));
    }

    static String sparks(JsonArray counts, Look look) {
        final String scale = look.unicode() ? SPARKS : PLAIN_SPARKS;
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
