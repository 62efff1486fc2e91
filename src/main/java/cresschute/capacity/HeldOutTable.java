package cresschute.capacity;

/** Errors of the fits at the held-out points. */
final class HeldOutTable {

    private HeldOutTable() {}

    /** The table as Markdown. */
    static String text(CapacityModel model) {
        final MarkdownTable table =
                new MarkdownTable(
                        "role",
                        "measure",
                        "runs",
                        "values",
                        "the fits say",
                        "measured",
                        "off by",
                        "in the fits' interval");
        HeldOutCheck.of(model).stream()
                .filter(check -> RoleTables.isTracked(check.key()))
                .forEach(
                        check ->
                                table.row(
                                        check.key().role().label(),
                                        "`" + check.key().measure() + "`",
                                        check.runs() + (check.partial() ? " (partial)" : ""),
                                        Figures.number(check.points()),
                                        Figures.estimate(check.predicted()),
                                        Figures.number(check.measured()),
                                        error(check),
                                        check.withinInterval() ? "yes" : "no"));
        return table.textOr(
                "No point is held out yet: how far the fits are off is **"
                        + Figures.NOT_MEASURED
                        + "**.");
    }

    private static String error(HeldOutCheck check) {
        return Double.isNaN(check.errorPercent())
                ? Figures.number(check.predicted().value()) + " where 0 was measured"
                : Figures.number(check.errorPercent()) + " %";
    }
}
