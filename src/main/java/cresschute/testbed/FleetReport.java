package cresschute.testbed;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.testbed.RequestOutcomes.End;
import cresschute.testbed.RequestOutcomes.OfClass;
import cresschute.testbed.RuleChecker.Breach;
import cresschute.testbed.RuleChecker.Rule;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The results of a run of a fleet, as a table and as JSON.
 *
 * @param invariantBreaches how often the node found one of its own invariants broken. Late answers
 *     on an overloaded machine count here, so this number is reported but breaks no rule
 */
public record FleetReport(RequestOutcomes outcomes, List<Breach> breaches, long invariantBreaches) {

    private static final int MAX_BREACHES_SHOWN = 10;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final int WIDE_TABLE_COLUMNS = 72;

    /** Returns whether no rule was broken. */
    public boolean isSound() {
        return breaches.isEmpty();
    }

    /** Returns the whole report as one JSON object. */
    public JsonObject json() {
        final JsonObject json = new JsonObject();
        json.addProperty("asked", outcomes.asked());
        json.addProperty("served", outcomes.ended(End.SERVED));
        json.addProperty("refused", outcomes.ended(End.REFUSED));
        json.addProperty("failed", outcomes.ended(End.FAILED));
        json.addProperty("unanswered", outcomes.ended(End.UNANSWERED));
        json.addProperty("unfinished", outcomes.ended(End.UNFINISHED));
        json.addProperty("in_time", outcomes.inTime());
        final JsonArray broken = new JsonArray();
        for (final Breach breach : breaches) {
            final JsonObject each = new JsonObject();
            each.addProperty("rule", breach.rule().wireName());
            each.addProperty("what", breach.what());
            broken.add(each);
        }
        json.add("rules_broken", broken);
        json.addProperty("invariants_broken", invariantBreaches);
        json.addProperty("worth_kept", rounded(outcomes.weightedServedFraction(), 1000));
        final JsonObject classes = new JsonObject();
        outcomes.classes().forEach((name, ofClass) -> classes.add(name, json(ofClass)));
        json.add("classes", classes);
        return json;
    }

    private static JsonObject json(OfClass ofClass) {
        final JsonObject json = new JsonObject();
        json.addProperty("asked", ofClass.asked());
        json.addProperty("served", ofClass.ended(End.SERVED));
        json.addProperty("refused", ofClass.ended(End.REFUSED));
        json.addProperty("failed", ofClass.ended(End.FAILED));
        json.addProperty("in_time", ofClass.inTime());
        json.addProperty("p50_ms", rounded(ofClass.servedMs(P50), 10));
        json.addProperty("p99_ms", rounded(ofClass.servedMs(P99), 10));
        return json;
    }

    private static double rounded(double value, int parts) {
        return Math.round(value * parts) / (double) parts;
    }

    /** Returns the table; no line is longer than {@code columns} if that is 40 or more. */
    public List<String> table(int columns) {
        final List<String> lines = new ArrayList<>();
        if (columns >= WIDE_TABLE_COLUMNS) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%-12s %6s %6s %7s %6s %7s %9s %9s",
                            "class",
                            "asked",
                            "served",
                            "refused",
                            "failed",
                            "in time",
                            "p50 ms",
                            "p99 ms"));
            outcomes.classes()
                    .forEach(
                            (name, each) ->
                                    lines.add(
                                            String.format(
                                                    Locale.ROOT,
                                                    "%-12s %6d %6d %7d %6d %7d %9.0f %9.0f",
                                                    cut(name, 12),
                                                    each.asked(),
                                                    each.ended(End.SERVED),
                                                    each.ended(End.REFUSED),
                                                    failed(each),
                                                    each.inTime(),
                                                    each.servedMs(P50),
                                                    each.servedMs(P99))));
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%-12s %6d %6d %7d %6d %7d",
                            "all",
                            outcomes.asked(),
                            outcomes.ended(End.SERVED),
                            outcomes.ended(End.REFUSED),
                            allFailed(),
                            outcomes.inTime()));
        } else {
            for (final Map.Entry<String, OfClass> entry : outcomes.classes().entrySet()) {
                final OfClass each = entry.getValue();
                lines.add(cut(entry.getKey(), columns));
                lines.add(
                        String.format(
                                Locale.ROOT,
                                "  asked %d served %d in time %d",
                                each.asked(),
                                each.ended(End.SERVED),
                                each.inTime()));
                lines.add(
                        String.format(
                                Locale.ROOT,
                                "  refused %d failed %d",
                                each.ended(End.REFUSED),
                                failed(each)));
                lines.add(
                        String.format(
                                Locale.ROOT,
                                "  p50 %.0f ms, p99 %.0f ms",
                                each.servedMs(P50),
                                each.servedMs(P99)));
            }
        }
        if (outcomes.ended(End.UNFINISHED) > 0) {
            lines.add("cut off while waiting: " + outcomes.ended(End.UNFINISHED));
        }
        lines.add(
                String.format(
                        Locale.ROOT, "worth kept: %.3f of 1", outcomes.weightedServedFraction()));
        for (final Rule rule : Rule.values()) {
            final List<Breach> of = breaches.stream().filter(each -> each.rule() == rule).toList();
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%-18s %s",
                            rule.wireName().replace('_', ' '),
                            of.isEmpty() ? "kept" : "BROKEN " + of.size() + " times"));
            of.stream()
                    .limit(MAX_BREACHES_SHOWN)
                    .forEach(each -> wrap("  " + each.what(), columns, lines));
        }
        if (invariantBreaches > 0) {
            lines.add("the node's own invariants: broken " + invariantBreaches);
        }
        return lines;
    }

    private static int failed(OfClass each) {
        return each.ended(End.FAILED) + each.ended(End.UNANSWERED);
    }

    private int allFailed() {
        return outcomes.classes().values().stream().mapToInt(FleetReport::failed).sum();
    }

    private static String cut(String text, int columns) {
        return text.length() <= columns ? text : text.substring(0, columns - 1) + "~";
    }

    private static void wrap(String text, int columns, List<String> lines) {
        String remainder = text;
        while (remainder.length() > columns) {
            final int space = remainder.lastIndexOf(' ', columns);
            final int end = space > 4 ? space : columns;
            lines.add(remainder.substring(0, end));
            remainder = "    " + remainder.substring(end).strip();
        }
        lines.add(remainder);
    }

    @Override
    public String toString() {
        return table(WIDE_TABLE_COLUMNS).stream().collect(Collectors.joining("\n"));
    }
}
