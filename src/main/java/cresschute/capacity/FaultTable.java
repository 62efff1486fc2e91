package cresschute.capacity;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.stream.Collectors;

/** Measurements during faults: the median of each measure, with its minimum and maximum. */
final class FaultTable {

    private record Group(FaultKind fault, String measure, String commit) {}

    private FaultTable() {}

    /** The table as Markdown. */
    static String text(List<FaultMeasurement> faults) {
        final MarkdownTable table =
                new MarkdownTable(
                        "fault",
                        "measure",
                        "median",
                        "least to greatest",
                        "values",
                        "commit, seeds");
        faults.stream()
                .sorted(Comparator.comparing(FaultMeasurement::fault))
                .collect(
                        Collectors.groupingBy(
                                row -> new Group(row.fault(), row.measure(), row.commit()),
                                LinkedHashMap::new,
                                Collectors.toList()))
                .forEach((group, rows) -> row(table, group, rows));
        return table.textOr(
                "No fault has been measured in the model yet: **" + Figures.NOT_MEASURED + "**.");
    }

    private static void row(MarkdownTable table, Group group, List<FaultMeasurement> rows) {
        final double[] values =
                rows.stream().mapToDouble(FaultMeasurement::value).sorted().toArray();
        final long partial = rows.stream().filter(FaultMeasurement::partial).count();
        table.row(
                group.fault().words(),
                "`" + group.measure() + "`",
                Figures.number(median(values)),
                Figures.number(values[0]) + " to " + Figures.number(values[values.length - 1]),
                values.length + (partial > 0 ? " (" + partial + " partial)" : ""),
                "`"
                        + group.commit()
                        + "`, "
                        + rows.stream()
                                .map(FaultMeasurement::seed)
                                .distinct()
                                .sorted()
                                .collect(Collectors.joining(", ")));
    }

    private static double median(double[] sorted) {
        final int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
