package cresschute.console;

import com.google.gson.JsonObject;
import cresschute.console.SiteModel.Freshness;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStyle;

/**
 * Draws the screen of a console as lines of a given size. Does no input or output: the model, the
 * state and the time are passed in. Every line is exactly as wide as the screen, and there are as
 * many lines as the screen has rows. Smaller screens omit, in this order, the sparklines, the less
 * important figures, the events and the classes. Workers' names and states are always shown; the
 * screen is at least {@link #MIN_COLUMNS} wide.
 */
final class ScreenView {

    static final int MIN_COLUMNS = 40;
    static final int MIN_ROWS = 6;
    private static final int MIN_COLUMNS_FOR_ALL_KEYS = 60;

    /**
     * Size and capabilities of a terminal.
     *
     * @param color whether the terminal has colours and the user wants them
     * @param unicode whether the terminal shows block characters
     */
    record ScreenFormat(int columns, int rows, boolean color, boolean unicode, ZoneId zone) {}

    private ScreenView() {}

    /** Draws the whole screen, one element for each row. */
    static List<AttributedString> draw(
            SiteModel model, ScreenState state, ScreenFormat format, long nowMs) {
        final List<AttributedString> lines = new ArrayList<>();
        final Freshness freshness = model.freshness(nowMs);
        lines.add(header(model, freshness, format, nowMs));
        if (state.mode() == ScreenState.Mode.HELP) {
            addHelp(lines, format);
        } else if (freshness == Freshness.LOADING) {
            lines.add(ScreenText.line("", AttributedStyle.DEFAULT, format));
            lines.add(
                    ScreenText.line(
                            "  loading: the node has sent no rows yet",
                            AttributedStyle.DEFAULT,
                            format));
        } else {
            addTables(lines, model, state, format, nowMs, freshness != Freshness.LIVE);
        }
        while (lines.size() < format.rows() - 1) {
            lines.add(ScreenText.line("", AttributedStyle.DEFAULT, format));
        }
        final List<AttributedString> shown =
                new ArrayList<>(lines.subList(0, Math.min(lines.size(), format.rows() - 1)));
        shown.add(footer(model, state, format));
        return shown;
    }

    private static AttributedString header(
            SiteModel model, Freshness freshness, ScreenFormat format, long nowMs) {
        final String status =
                switch (freshness) {
                    case LOADING -> "LOADING";
                    case LIVE -> "LIVE";
                    case STALE -> "STALE since " + ScreenText.clock(model.lastLineMs(), format);
                    case RECONNECTING ->
                            "RECONNECTING, STALE since "
                                    + ScreenText.clock(model.lastLineMs(), format);
                };
        final JsonObject node = model.node();
        final StringBuilder text = new StringBuilder(" ");
        if (node != null) {
            text.append(ScreenText.replaceControlCharacters(ScreenState.text(node, "name")));
            for (final String part : nodeFigures(node, nowMs)) {
                if (text.length() + 3 + part.length() + 2 + status.length() <= format.columns()) {
                    text.append(" | ").append(part);
                }
            }
        }
        final int padding = Math.max(1, format.columns() - text.length() - status.length() - 1);
        return ScreenText.line(
                text + " ".repeat(padding) + status,
                freshness == Freshness.LIVE
                        ? AttributedStyle.INVERSE
                        : AttributedStyle.INVERSE.bold(),
                format);
    }

    /** The node's figures for the first line, the most important first. */
    private static List<String> nodeFigures(JsonObject node, long nowMs) {
        final double valueKept = ScreenState.number(node, "worth_kept");
        final List<String> parts = new ArrayList<>();
        if (node.get("stopping").getAsBoolean()) {
            parts.add("STOPPING");
        }
        parts.add("open " + node.get("open").getAsLong());
        parts.add("worth kept " + (valueKept < 0 ? "-" : Math.round(valueKept * 100) + "%"));
        parts.add(
                node.get("fixed_list").getAsBoolean()
                        ? "list fixed"
                        : "list "
                                + node.get("list_version").getAsLong()
                                + ", "
                                + ScreenText.age(nowMs - node.get("list_ms").getAsLong())
                                + " ago");
        if (node.get("broken").getAsLong() > 0) {
            parts.add("invariants broken " + node.get("broken").getAsLong());
        }
        return parts;
    }

    private static void addTables(
            List<AttributedString> lines,
            SiteModel model,
            ScreenState state,
            ScreenFormat format,
            long nowMs,
            boolean outdated) {
        final List<JsonObject> rows = state.rows(model);
        final int rowsLeft = format.rows() - 3;
        int classLines = Math.min(model.classes().size(), Math.max(1, rowsLeft / 4)) + 1;
        int eventLines = Math.max(2, rowsLeft / 5);
        if (rowsLeft < 12) {
            eventLines = 0;
        }
        if (rowsLeft < 8) {
            classLines = 0;
        }
        final int workerLines = Math.max(1, rowsLeft - classLines - eventLines - 1);
        final AttributedStyle rowStyle =
                outdated ? AttributedStyle.DEFAULT.faint() : AttributedStyle.DEFAULT;
        lines.add(WorkerRowsView.header(state, format));
        final int first =
                Math.max(
                        0,
                        Math.min(state.selectedRow() - workerLines / 2, rows.size() - workerLines));
        for (int i = first; i < Math.min(rows.size(), first + workerLines); i++) {
            lines.add(
                    WorkerRowsView.row(
                            rows.get(i), i == state.selectedRow(), rowStyle, format, nowMs));
        }
        if (rows.isEmpty()) {
            lines.add(
                    ScreenText.line(
                            model.workers().isEmpty()
                                    ? "  no workers on the endpoint list"
                                    : "  no worker matches '" + state.filter() + "'; Esc shows all",
                            rowStyle,
                            format));
        }
        while (lines.size() < 2 + workerLines) {
            lines.add(ScreenText.line("", rowStyle, format));
        }
        lines.add(
                WorkerRowsView.selectedWorkerLine(
                        model, state, rows.size(), workerLines, format, nowMs));
        if (classLines > 0) {
            addClasses(lines, model, classLines - 1, rowStyle, format);
        }
        addEvents(lines, model, eventLines, rowStyle, format);
    }

    private static void addClasses(
            List<AttributedString> lines,
            SiteModel model,
            int count,
            AttributedStyle style,
            ScreenFormat format) {
        lines.add(
                ScreenText.line(
                        tableLine(
                                format, "CLASS", "ASKED", "ADMIT", "SERVED", "REFUSED", "FAILED",
                                "INTIME", "P99"),
                        AttributedStyle.DEFAULT.underline(),
                        format));
        model.classes().stream()
                .limit(count)
                .forEach(
                        each -> lines.add(ScreenText.line(classLine(each, format), style, format)));
    }

    private static void addEvents(
            List<AttributedString> lines,
            SiteModel model,
            int count,
            AttributedStyle style,
            ScreenFormat format) {
        final List<JsonObject> events = model.events();
        events.subList(Math.max(0, events.size() - count), events.size())
                .forEach(
                        each ->
                                lines.add(
                                        ScreenText.line(
                                                " "
                                                        + ScreenText.clock(
                                                                each.get("at_ms").getAsLong(),
                                                                format)
                                                        + " "
                                                        + ScreenText.replaceControlCharacters(
                                                                ScreenState.text(each, "text")),
                                                style,
                                                format)));
    }

    private static String classLine(JsonObject row, ScreenFormat format) {
        final double admitted = ScreenState.number(row, "admitted");
        return tableLine(
                format,
                ScreenText.replaceControlCharacters(ScreenState.text(row, "id")),
                ScreenText.count(ScreenState.number(row, "asked")),
                admitted < 0 ? "-" : Math.round(admitted * 100) + "%",
                ScreenText.count(ScreenState.number(row, "served")),
                ScreenText.count(ScreenState.number(row, "refused")),
                ScreenText.count(ScreenState.number(row, "failed")),
                ScreenText.count(ScreenState.number(row, "in_time")),
                ScreenText.ms(ScreenState.number(row, "p99_ms")));
    }

    private static String tableLine(ScreenFormat format, String name, String... figures) {
        final StringBuilder text =
                new StringBuilder(" ")
                        .append(ScreenText.pad(name, new ScreenText.Column("", 12, true, 0)));
        // A small screen shows only the figures asked, served and refused.
        final boolean small = format.columns() < 12 + 1 + figures.length * 8;
        for (int i = 0; i < figures.length; i++) {
            if (!small || i == 0 || i == 2 || i == 3) {
                text.append(' ')
                        .append(ScreenText.pad(figures[i], new ScreenText.Column("", 7, false, 0)));
            }
        }
        return text.toString();
    }

    private static void addHelp(List<AttributedString> lines, ScreenFormat format) {
        for (final String text :
                List.of(
                        "",
                        "  up, down, j, k   move; PgUp, PgDn, g, G too",
                        "  /                filter by name, state or kind",
                        "  s                next sort order",
                        "  d                drain selected worker",
                        "  u                undo its drain",
                        "  Esc              clear filter",
                        "  q, Ctrl-C        quit; drains stay",
                        "",
                        "  taking    takes work at normal speed",
                        "  full      no free slot, and jobs wait",
                        "  slowing   jobs run unusually long",
                        "  silent    no progress reports of jobs",
                        "  cold      started a short while ago",
                        "  draining  gets no new requests",
                        "  gone      not on the endpoint list",
                        "",
                        "  any key closes this help")) {
            lines.add(ScreenText.line(text, AttributedStyle.DEFAULT, format));
        }
    }

    private static AttributedString footer(
            SiteModel model, ScreenState state, ScreenFormat format) {
        final JsonObject target = state.target() == null ? null : model.worker(state.target());
        final String text =
                switch (state.mode()) {
                    case FILTER -> "/" + state.filter() + "_";
                    case CONFIRM_DRAIN ->
                            " Drain "
                                    + ScreenText.replaceControlCharacters(state.target())
                                    + "? "
                                    + (target == null ? 0 : target.get("in_flight").getAsInt())
                                    + " in flight. y or n";
                    case CONFIRM_FORCE -> " " + state.message() + ". F drains it anyway";
                    case HELP -> "";
                    case BROWSE ->
                            !state.message().isEmpty()
                                    ? " " + state.message()
                                    : (state.filter().isEmpty() ? "" : "[/" + state.filter() + "]")
                                            + (format.columns() < MIN_COLUMNS_FOR_ALL_KEYS
                                                    ? " d drain  u undo  ? help  q quit"
                                                    : " d drain  u undo  / filter  s sort  ? help "
                                                            + " q quit");
                };
        return ScreenText.line(
                ScreenText.replaceControlCharacters(text),
                state.mode() == ScreenState.Mode.BROWSE
                        ? AttributedStyle.DEFAULT
                        : AttributedStyle.DEFAULT.bold(),
                format);
    }
}
