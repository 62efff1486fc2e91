package cresschute.console;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Formats the workers as plain lines, for scripts and for terminals that cannot show a screen. Does
 * no input or output.
 */
public final class WorkerTable {

    private WorkerTable() {}

    /** A line of column titles, then one line per worker, sorted by name. */
    public static List<String> lines(SiteModel model, long nowMs) {
        final List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        "%-16s %-9s %4s %6s %7s %7s %5s %5s  %s",
                        "WORKER", "STATE", "OUT", "/S", "P50", "P99", "QUEUE", "FREE", "WHY"));
        for (final JsonObject row : new ScreenState().rows(model)) {
            lines.add(
                    String.format(
                                    Locale.ROOT,
                                    "%-16s %-9s %4d %6.1f %7s %7s %5s %5s  %s",
                                    ScreenText.replaceControlCharacters(
                                            ScreenState.text(row, "id")),
                                    ScreenState.text(row, "state"),
                                    row.get("in_flight").getAsInt(),
                                    ScreenState.number(row, "rate"),
                                    ScreenText.ms(ScreenState.number(row, "p50_ms")),
                                    ScreenText.ms(ScreenState.number(row, "p99_ms")),
                                    ScreenText.count(ScreenState.number(row, "queue")),
                                    ScreenText.count(ScreenState.number(row, "free")),
                                    ScreenText.replaceControlCharacters(reason(row, nowMs)))
                            .stripTrailing());
        }
        return lines;
    }

    private static String reason(JsonObject row, long nowMs) {
        final String reason = ScreenState.text(row, "why");
        return reason.isEmpty()
                ? ""
                : reason + ", for " + ScreenText.age(nowMs - row.get("since_ms").getAsLong());
    }
}
