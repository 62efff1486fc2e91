package cresschute.capacity;

import java.util.List;

/** Ratios of costs to limits, the highest first, at the planned size and at twice that size. */
final class RatioTables {

    private RatioTables() {}

    /** The table at the planned size as Markdown. */
    static String worst(CapacityModel model) {
        final MarkdownTable table =
                new MarkdownTable("need/limit", "need", "amount", "limit", "carried by", "source");
        RatioRow.of(model, PlannedSize.OPERATORS)
                .forEach(
                        row ->
                                table.row(
                                        row.ratio().map(Figures::ratio).orElse("-"),
                                        row.need(),
                                        row.amount(),
                                        row.limit(),
                                        row.mechanism(),
                                        row.source()));
        return table.textOr("");
    }

    /** The table at twice the planned size as Markdown. */
    static String doubled(CapacityModel model) {
        final List<RatioRow> planned = RatioRow.of(model, PlannedSize.OPERATORS);
        final MarkdownTable table =
                new MarkdownTable(
                        "need",
                        "need/limit at twice the size",
                        "at the planned size",
                        "carried by");
        RatioRow.of(model, PlannedSize.OPERATORS.doubled()).stream()
                .filter(RatioRow::hasFigure)
                .forEach(
                        row ->
                                table.row(
                                        row.need(),
                                        Figures.ratio(row.ratio().orElseThrow()),
                                        Figures.ratio(ratioOf(row, planned)),
                                        row.mechanism()));
        return table.textOr("");
    }

    private static double ratioOf(RatioRow row, List<RatioRow> planned) {
        return planned.stream()
                .filter(each -> each.need().equals(row.need()))
                .findFirst()
                .flatMap(RatioRow::ratio)
                .orElse(Double.NaN);
    }
}
