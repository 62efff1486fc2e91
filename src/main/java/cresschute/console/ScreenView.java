package cresschute.console;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import cresschute.console.SiteModel.Freshness;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStringBuilder;
import org.jline.utils.AttributedStyle;

/**
 * Draws what a console knows into lines of a given size. Pure: the model, the choices and the clock
 * are passed in. Every line is exactly as wide as the screen, and there are as many as it is high.
 * What does not fit is left out in the order of its use: first the sparklines, then the finer
 * figures, then events, then classes; the workers' names and states stay down to 40 columns.
 */
final class ScreenView {

    static final int LEAST_COLUMNS = 40;
    static final int LEAST_ROWS = 6;
    private static final int FULL_HINTS = 60;
    private static final String SPARKS = " ▁▂▃▄▅▆▇█";
    private static final String PLAIN_SPARKS = " .:-=+*%#";
    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("HH:mm:ss", Locale.ROOT);
    private static final long S_MS = 1_000;
    private static final long MINUTE_S = 60;
    private static final long HOUR_S = 3_600;

    /**
     * What a terminal can show.
     *
     * @param color whether it has colours and they are wanted
     * @param unicode whether it shows block characters
     */
    record Look(int columns, int rows, boolean color, boolean unicode, ZoneId zone) {}

    private record Column(String title, int width, boolean left, int leastScreen) {}

    /** In the order in which they stand; a column is shown on screens of at least its width. */
    private static final List<Column> COLUMNS =
            List.of(
                    new Column("WORKER", 12, true, 0),
                    new Column("STATE", 8, true, 0),
                    new Column("OUT", 4, false, 0),
                    new Column("/S", 5, false, 48),
                    new Column("P50", 6, false, 56),
                    new Column("P99", 6, false, 0),
                    new Column("QUEUE", 5, false, 64),
                    new Column("FREE", 4, false, 70),
                    new Column("REPORT", 6, false, 78),
                    new Column("LAST MINUTE", 12, true, 92));

    private ScreenView() {}

    /** The whole screen. */
    static List<AttributedString> draw(SiteModel model, ScreenState state, Look look, long nowMs) {
        final List<AttributedString> lines = new ArrayList<>();
        final Freshness freshness = model.freshness(nowMs);
        lines.add(head(model, freshness, look, nowMs));
        if (state.mode() == ScreenState.Mode.HELP) {
            help(lines, look);
        } else if (freshness == Freshness.LOADING) {
            lines.add(line("", AttributedStyle.DEFAULT, look));
            lines.add(
                    line(
                            "  loading: the node has told nothing yet",
                            AttributedStyle.DEFAULT,
                            look));
        } else {
            body(lines, model, state, look, nowMs, freshness != Freshness.LIVE);
        }
        while (lines.size() < look.rows() - 1) {
            lines.add(line("", AttributedStyle.DEFAULT, look));
        }
        final List<AttributedString> shown =
                new ArrayList<>(lines.subList(0, Math.min(lines.size(), look.rows() - 1)));
        shown.add(foot(model, state, look));
        return shown;
    }

    private static AttributedString head(
            SiteModel model, Freshness freshness, Look look, long nowMs) {
        final String status =
                switch (freshness) {
                    case LOADING -> "LOADING";
                    case LIVE -> "LIVE";
                    case STALE -> "STALE since " + clock(model.heardMs(), look);
                    case RECONNECTING ->
                            "RECONNECTING, STALE since " + clock(model.heardMs(), look);
                };
        final JsonObject node = model.node();
        final StringBuilder text = new StringBuilder(" ");
        if (node != null) {
            text.append(clean(ScreenState.text(node, "name")));
            final double kept = ScreenState.number(node, "worth_kept");
            final List<String> parts = new ArrayList<>();
            if (node.get("stopping").getAsBoolean()) {
                parts.add("STOPPING");
            }
            parts.add("open " + node.get("open").getAsLong());
            parts.add("worth kept " + (kept < 0 ? "-" : Math.round(kept * 100) + "%"));
            parts.add(
                    node.get("fixed_list").getAsBoolean()
                            ? "list fixed"
                            : "list "
                                    + node.get("list_version").getAsLong()
                                    + ", "
                                    + age(nowMs - node.get("list_ms").getAsLong())
                                    + " ago");
            if (node.get("broken").getAsLong() > 0) {
                parts.add("invariants broken " + node.get("broken").getAsLong());
            }
            for (final String part : parts) {
                if (text.length() + 3 + part.length() + 2 + status.length() <= look.columns()) {
                    text.append(" | ").append(part);
                }
            }
        }
        final int gap = Math.max(1, look.columns() - text.length() - status.length() - 1);
        return line(
                text + " ".repeat(gap) + status,
                freshness == Freshness.LIVE
                        ? AttributedStyle.INVERSE
                        : AttributedStyle.INVERSE.bold(),
                look);
    }

    private static void body(
            List<AttributedString> lines,
            SiteModel model,
            ScreenState state,
            Look look,
            long nowMs,
            boolean old) {
        final List<JsonObject> rows = state.rows(model);
        final int room = look.rows() - 3;
        int classLines = Math.min(model.classes().size(), Math.max(1, room / 4)) + 1;
        int eventLines = Math.max(2, room / 5);
        if (room < 12) {
            eventLines = 0;
        }
        if (room < 8) {
            classLines = 0;
        }
        final int workerLines = Math.max(1, room - classLines - eventLines - 1);
        final AttributedStyle plain =
                old ? AttributedStyle.DEFAULT.faint() : AttributedStyle.DEFAULT;
        lines.add(titles(state, look));
        final int first =
                Math.max(0, Math.min(state.place() - workerLines / 2, rows.size() - workerLines));
        for (int i = first; i < Math.min(rows.size(), first + workerLines); i++) {
            lines.add(worker(rows.get(i), i == state.place(), plain, look, nowMs));
        }
        if (rows.isEmpty()) {
            lines.add(
                    line(
                            model.workers().isEmpty()
                                    ? "  the list names no worker"
                                    : "  no worker matches '" + state.filter() + "'; Esc shows all",
                            plain,
                            look));
        }
        while (lines.size() < 2 + workerLines) {
            lines.add(line("", plain, look));
        }
        // What the selection is about, in words; also how much of the list is out of sight.
        lines.add(selection(model, state, rows.size(), workerLines, look, nowMs));
        if (classLines > 0) {
            lines.add(
                    line(
                            format(
                                    look, "CLASS", "ASKED", "ADMIT", "SERVED", "REFUSED", "FAILED",
                                    "INTIME", "P99"),
                            AttributedStyle.DEFAULT.underline(),
                            look));
            model.classes().stream()
                    .limit(classLines - 1)
                    .forEach(each -> lines.add(line(classLine(each, look), plain, look)));
        }
        final List<JsonObject> events = model.events();
        events.subList(Math.max(0, events.size() - eventLines), events.size())
                .forEach(
                        each ->
                                lines.add(
                                        line(
                                                " "
                                                        + clock(each.get("at_ms").getAsLong(), look)
                                                        + " "
                                                        + clean(ScreenState.text(each, "text")),
                                                plain,
                                                look)));
    }

    private static AttributedString titles(ScreenState state, Look look) {
        final StringBuilder text = new StringBuilder(" ");
        final String sorted =
                switch (state.order()) {
                    case NAME -> "WORKER";
                    case STATE -> "STATE";
                    case OUT -> "OUT";
                    case P99 -> "P99";
                    case RATE -> "/S";
                };
        for (final Column column : COLUMNS) {
            if (look.columns() >= column.leastScreen()) {
                text.append(
                                pad(
                                        column.title().equals(sorted)
                                                ? column.title() + "*"
                                                : column.title(),
                                        column))
                        .append(' ');
            }
        }
        return line(text.toString(), AttributedStyle.DEFAULT.underline(), look);
    }

    private static AttributedString worker(
            JsonObject row, boolean selected, AttributedStyle plain, Look look, long nowMs) {
        final String state = ScreenState.text(row, "state");
        final AttributedStringBuilder out = new AttributedStringBuilder();
        final AttributedStyle style = selected ? plain.inverse() : plain;
        out.styled(style, selected ? ">" : " ");
        for (final Column column : COLUMNS) {
            if (look.columns() < column.leastScreen()) {
                continue;
            }
            final String text =
                    switch (column.title()) {
                        case "WORKER" -> clean(ScreenState.text(row, "id"));
                        case "STATE" -> state;
                        case "OUT" -> String.valueOf(row.get("in_flight").getAsInt());
                        case "/S" ->
                                String.format(Locale.ROOT, "%.1f", ScreenState.number(row, "rate"));
                        case "P50" -> ms(ScreenState.number(row, "p50_ms"));
                        case "P99" -> ms(ScreenState.number(row, "p99_ms"));
                        case "QUEUE" -> count(ScreenState.number(row, "queue"));
                        case "FREE" -> count(ScreenState.number(row, "free"));
                        case "REPORT" ->
                                row.get("report_ms").getAsLong() == 0
                                        ? "-"
                                        : age(nowMs - row.get("report_ms").getAsLong());
                        default -> sparks(row.getAsJsonArray("sparks"), look);
                    };
            final boolean colored = column.title().equals("STATE") && look.color();
            out.styled(colored ? color(state, style) : style, pad(text, column));
            out.styled(style, " ");
        }
        return fit(out.toAttributedString(), style, look);
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

    private static AttributedString selection(
            SiteModel model, ScreenState state, int shown, int room, Look look, long nowMs) {
        final StringBuilder text = new StringBuilder(" ");
        final JsonObject row = state.selected() == null ? null : model.worker(state.selected());
        if (row != null) {
            text.append(clean(ScreenState.text(row, "id")))
                    .append(": ")
                    .append(ScreenState.text(row, "state"))
                    .append(" for ")
                    .append(age(nowMs - row.get("since_ms").getAsLong()));
            if (!ScreenState.text(row, "why").isEmpty()) {
                text.append(", ").append(ScreenState.text(row, "why"));
            }
            if (row.has("drain")) {
                final JsonObject drain = row.getAsJsonObject("drain");
                text.append("; drained by ").append(clean(ScreenState.text(drain, "who")));
                if (!ScreenState.text(drain, "reason").isEmpty()) {
                    text.append(": ").append(clean(ScreenState.text(drain, "reason")));
                }
                if (drain.has("until_ms")) {
                    text.append(", until ").append(clock(drain.get("until_ms").getAsLong(), look));
                }
            }
        }
        if (shown > room) {
            final String more = " " + (state.place() + 1) + "/" + shown;
            final int free = look.columns() - more.length() - 1;
            if (text.length() > free) {
                text.setLength(Math.max(0, free));
            }
            text.append(" ".repeat(Math.max(0, free - text.length()))).append(more);
        }
        return line(text.toString(), AttributedStyle.DEFAULT.bold(), look);
    }

    private static String classLine(JsonObject row, Look look) {
        final double admitted = ScreenState.number(row, "admitted");
        return format(
                look,
                clean(ScreenState.text(row, "id")),
                count(ScreenState.number(row, "asked")),
                admitted < 0 ? "-" : Math.round(admitted * 100) + "%",
                count(ScreenState.number(row, "served")),
                count(ScreenState.number(row, "refused")),
                count(ScreenState.number(row, "failed")),
                count(ScreenState.number(row, "in_time")),
                ms(ScreenState.number(row, "p99_ms")));
    }

    private static String format(Look look, String name, String... figures) {
        final StringBuilder text =
                new StringBuilder(" ").append(pad(name, new Column("", 12, true, 0)));
        // On a narrow screen: asked, served, refused; the others where there is room.
        final boolean narrow = look.columns() < 12 + 1 + figures.length * 8;
        for (int i = 0; i < figures.length; i++) {
            if (!narrow || i == 0 || i == 2 || i == 3) {
                text.append(' ').append(pad(figures[i], new Column("", 7, false, 0)));
            }
        }
        return text.toString();
    }

    private static void help(List<AttributedString> lines, Look look) {
        for (final String text :
                List.of(
                        "",
                        "  up, down, j, k   move; PgUp, PgDn, g, G too",
                        "  /                filter by name, state or kind",
                        "  s                next order",
                        "  d                drain the worker",
                        "  u                undo its drain",
                        "  Esc              no filter",
                        "  q, Ctrl-C        leave; drains hold",
                        "",
                        "  taking    it works at the speed of others",
                        "  full      no free slot, and jobs wait",
                        "  slowing   its jobs run much longer",
                        "  silent    it tells nothing of its jobs",
                        "  cold      it has just started",
                        "  draining  it gets nothing new",
                        "  gone      the list" + " does not have it",
                        "",
                        "  any key goes back")) {
            lines.add(line(text, AttributedStyle.DEFAULT, look));
        }
    }

    private static AttributedString foot(SiteModel model, ScreenState state, Look look) {
        final JsonObject asked = state.asked() == null ? null : model.worker(state.asked());
        final String text =
                switch (state.mode()) {
                    case FILTER -> "/" + state.filter() + "_";
                    case CONFIRM_DRAIN ->
                            " Drain "
                                    + clean(state.asked())
                                    + "? "
                                    + (asked == null ? 0 : asked.get("in_flight").getAsInt())
                                    + " out there. y or n";
                    case CONFIRM_FORCE -> " " + state.message() + ". F drains it anyway";
                    case HELP -> "";
                    case BROWSE ->
                            !state.message().isEmpty()
                                    ? " " + state.message()
                                    : (state.filter().isEmpty() ? "" : "[/" + state.filter() + "]")
                                            + (look.columns() < FULL_HINTS
                                                    ? " d drain  u undo  ? help  q quit"
                                                    : " d drain  u undo  / filter  s sort  ? help "
                                                            + " q quit");
                };
        return line(
                clean(text),
                state.mode() == ScreenState.Mode.BROWSE
                        ? AttributedStyle.DEFAULT
                        : AttributedStyle.DEFAULT.bold(),
                look);
    }

    // ---- Words ----

    private static AttributedString line(String text, AttributedStyle style, Look look) {
        return fit(new AttributedString(text, style), style, look);
    }

    /** As wide as the screen, by the columns that characters take there. */
    private static AttributedString fit(AttributedString text, AttributedStyle style, Look look) {
        final AttributedString cut = text.columnSubSequence(0, look.columns());
        final int missing = look.columns() - cut.columnLength();
        return missing <= 0
                ? cut
                : new AttributedStringBuilder()
                        .append(cut)
                        .styled(style, " ".repeat(missing))
                        .toAttributedString();
    }

    private static String pad(String text, Column column) {
        final AttributedString whole = new AttributedString(text);
        final String cut =
                whole.columnLength() <= column.width()
                        ? text
                        : whole.columnSubSequence(0, column.width() - 1) + "~";
        final String gap =
                " ".repeat(Math.max(0, column.width() - new AttributedString(cut).columnLength()));
        return column.left() ? cut + gap : gap + cut;
    }

    /** Guards the screen: names and reasons come from others and must not move the cursor. */
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

    private static String clock(long ms, Look look) {
        return CLOCK.format(Instant.ofEpochMilli(ms).atZone(look.zone()));
    }

    private static String sparks(JsonArray counts, Look look) {
        final String scale = look.unicode() ? SPARKS : PLAIN_SPARKS;
        int most = 1;
        for (final JsonElement count : counts) {
            most = Math.max(most, count.getAsInt());
        }
        final StringBuilder out = new StringBuilder();
        for (final JsonElement count : counts) {
            out.append(scale.charAt((int) Math.ceil(count.getAsInt() * 8.0 / most)));
        }
        return out.toString();
    }
}
