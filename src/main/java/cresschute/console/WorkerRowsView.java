package cresschute.console;

import com.google.gson.JsonObject;
import cresschute.console.ScreenView.ScreenFormat;
import java.util.List;
import java.util.Locale;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStringBuilder;
import org.jline.utils.AttributedStyle;

/** Draws the table of workers. Does no input or output; text that does not fit is cut off. */
final class WorkerRowsView {

    /** The columns in their order on the screen. */
    private static final List<ScreenText.Column> COLUMNS =
            List.of(
                    new ScreenText.Column("WORKER", 12, true, 0),
                    new ScreenText.Column("STATE", 8, true, 0),
                    new ScreenText.Column("OUT", 4, false, 0),
                    new ScreenText.Column("/S", 5, false, 48),
                    new ScreenText.Column("P50", 6, false, 56),
                    new ScreenText.Column("P99", 6, false, 0),
                    new ScreenText.Column("QUEUE", 5, false, 64),
                    new ScreenText.Column("FREE", 4, false, 70),
                    new ScreenText.Column("REPORT", 6, false, 78),
                    new ScreenText.Column("LAST MINUTE", 12, true, 92));

    private WorkerRowsView() {}

    /** The column titles; an asterisk marks the column that the rows are sorted by. */
    static AttributedString header(ScreenState state, ScreenFormat format) {
        final StringBuilder text = new StringBuilder(" ");
        final String sorted =
                switch (state.order()) {
                    case NAME -> "WORKER";
                    case STATE -> "STATE";
                    case OUT -> "OUT";
                    case P99 -> "P99";
                    case RATE -> "/S";
                };
        for (final ScreenText.Column column : COLUMNS) {
            if (format.columns() >= column.minColumns()) {
                text.append(
                                ScreenText.pad(
                                        column.title().equals(sorted)
                                                ? column.title() + "*"
                                                : column.title(),
                                        column))
                        .append(' ');
            }
        }
        return ScreenText.line(text.toString(), AttributedStyle.DEFAULT.underline(), format);
    }

    /** The row of one worker. */
    static AttributedString row(
            JsonObject row,
            boolean selected,
            AttributedStyle rowStyle,
            ScreenFormat format,
            long nowMs) {
        final String state = ScreenState.text(row, "state");
        final AttributedStringBuilder out = new AttributedStringBuilder();
        final AttributedStyle style = selected ? rowStyle.inverse() : rowStyle;
        out.styled(style, selected ? ">" : " ");
        for (final ScreenText.Column column : COLUMNS) {
            if (format.columns() < column.minColumns()) {
                continue;
            }
            final String text = cell(column, row, format, nowMs);
            final boolean colored = column.title().equals("STATE") && format.color();
            out.styled(colored ? color(state, style) : style, ScreenText.pad(text, column));
            out.styled(style, " ");
        }
        return ScreenText.fit(out.toAttributedString(), style, format);
    }

    private static AttributedStyle color(String state, AttributedStyle style) {
        return switch (state) {
            case "taking" -> style.foreground(AttributedStyle.GREEN);
            case "full", "slowing" -> style.foreground(AttributedStyle.YELLOW);
            case "silent" -> style.foreground(AttributedStyle.RED).bold();
            case "cold" -> style.foreground(AttributedStyle.CYAN);
            case "draining" -> style.foreground(AttributedStyle.MAGENTA);
            default -> style.faint();
        };
    }

    /**
     * The selected worker's state and the reason for it, and the row's position if not all rows are
     * visible.
     */
    static AttributedString selectedWorkerLine(
            SiteModel model,
            ScreenState state,
            int rowCount,
            int visibleRows,
            ScreenFormat format,
            long nowMs) {
        final StringBuilder text = new StringBuilder(" ");
        final JsonObject row = state.selected() == null ? null : model.worker(state.selected());
        if (row != null) {
            text.append(ScreenText.replaceControlCharacters(ScreenState.text(row, "id")))
                    .append(": ")
                    .append(ScreenState.text(row, "state"))
                    .append(" for ")
                    .append(ScreenText.age(nowMs - row.get("since_ms").getAsLong()));
            if (!ScreenState.text(row, "why").isEmpty()) {
                text.append(", ").append(ScreenState.text(row, "why"));
            }
            if (row.has("drain")) {
                appendDrain(text, row.getAsJsonObject("drain"), format);
            }
        }
        if (rowCount > visibleRows) {
            final String position = " " + (state.selectedRow() + 1) + "/" + rowCount;
            final int width = format.columns() - position.length() - 1;
            if (text.length() > width) {
                text.setLength(Math.max(0, width));
            }
            text.append(" ".repeat(Math.max(0, width - text.length()))).append(position);
        }
        return ScreenText.line(text.toString(), AttributedStyle.DEFAULT.bold(), format);
    }

    private static String cell(
            ScreenText.Column column, JsonObject row, ScreenFormat format, long nowMs) {
        return switch (column.title()) {
            case "WORKER" -> ScreenText.replaceControlCharacters(ScreenState.text(row, "id"));
            case "STATE" -> ScreenState.text(row, "state");
            case "OUT" -> String.valueOf(row.get("in_flight").getAsInt());
            case "/S" -> String.format(Locale.ROOT, "%.1f", ScreenState.number(row, "rate"));
            case "P50" -> ScreenText.ms(ScreenState.number(row, "p50_ms"));
            case "P99" -> ScreenText.ms(ScreenState.number(row, "p99_ms"));
            case "QUEUE" -> ScreenText.count(ScreenState.number(row, "queue"));
            case "FREE" -> ScreenText.count(ScreenState.number(row, "free"));
            case "REPORT" ->
                    row.get("report_ms").getAsLong() == 0
                            ? "-"
                            : ScreenText.age(nowMs - row.get("report_ms").getAsLong());
            default -> ScreenText.sparkline(row.getAsJsonArray("sparks"), format);
        };
    }

    private static void appendDrain(StringBuilder text, JsonObject drain, ScreenFormat format) {
        text.append("; drained by ")
                .append(ScreenText.replaceControlCharacters(ScreenState.text(drain, "who")));
        if (!ScreenState.text(drain, "reason").isEmpty()) {
            text.append(": ")
                    .append(ScreenText.replaceControlCharacters(ScreenState.text(drain, "reason")));
        }
        if (drain.has("until_ms")) {
            text.append(", until ")
                    .append(ScreenText.clock(drain.get("until_ms").getAsLong(), format));
        }
    }
}
