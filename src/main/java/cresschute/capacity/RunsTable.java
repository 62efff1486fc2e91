package cresschute.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.stream.Collectors;

/** The runs that the measurements come from: one row for each axis and commit. */
final class RunsTable {

    private record Group(String axis, String commit) {}

    private RunsTable() {}

    /** The table as Markdown. */
    static String text(List<Measurement> measurements) {
        final MarkdownTable table =
                new MarkdownTable(
                        "axis",
                        "commit",
                        "dates",
                        "seeds",
                        "runs",
                        "values",
                        "held out",
                        "partial, left out of fits");
        measurements.stream()
                .collect(
                        Collectors.groupingBy(
                                row ->
                                        new Group(
                                                row.axis()
                                                        .map(Axis::label)
                                                        .orElse(
                                                                row.heldOut()
                                                                        ? Axis.FULL
                                                                        : Axis.NONE),
                                                row.commit()),
                                LinkedHashMap::new,
                                Collectors.toList()))
                .forEach(
                        (group, rows) ->
                                table.row(
                                        group.axis(),
                                        "`" + group.commit() + "`",
                                        range(
                                                rows.stream()
                                                        .map(Measurement::date)
                                                        .sorted()
                                                        .toList()),
                                        String.join(
                                                ", ",
                                                rows.stream()
                                                        .map(Measurement::seed)
                                                        .distinct()
                                                        .sorted()
                                                        .toList()),
                                        Figures.number(
                                                rows.stream()
                                                        .map(Measurement::run)
                                                        .distinct()
                                                        .count()),
                                        Figures.number(rows.size()),
                                        Figures.number(
                                                rows.stream().filter(Measurement::heldOut).count()),
                                        Figures.number(
                                                rows.stream()
                                                        .filter(Measurement::partial)
                                                        .count())));
        return table.textOr("No run has been measured yet.");
    }

    private static String range(List<String> dates) {
        final String first = dates.get(0);
        final String last = dates.get(dates.size() - 1);
        return first.equals(last) ? first : first + " to " + last;
    }
}
