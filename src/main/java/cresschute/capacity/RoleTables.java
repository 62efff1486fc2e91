package cresschute.capacity;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The costs of a role at the planned size, and the fits that estimate them. */
final class RoleTables {

    private RoleTables() {}

    /** The table of the costs of a role as Markdown. */
    static String needs(CapacityModel model, Role role) {
        final MarkdownTable table =
                new MarkdownTable(
                        "measure",
                        "kind",
                        "unit",
                        "carried by",
                        "at the planned size",
                        "limit",
                        "need/limit");
        of(role).forEach(
                        measure -> {
                            final Optional<Estimate> estimate =
                                    measure.estimate(model, PlannedSize.OPERATORS.sizes());
                            table.row(
                                    "`" + measure.measure() + "`",
                                    measure.kind().label(),
                                    measure.unit(),
                                    Mechanism.markdown(measure.mechanism()),
                                    estimate.map(Figures::estimate)
                                            .orElse(
                                                    "**"
                                                            + Figures.NOT_MEASURED
                                                            + "**: "
                                                            + measure.reasonNotMeasured()),
                                    limit(measure),
                                    ratio(measure, estimate));
                        });
        return table.textOr("");
    }

    private static String limit(TrackedMeasure measure) {
        return measure.limit()
                .map(limit -> Figures.number(limit.value()) + " (" + limit.source() + ")")
                .orElse("none stated");
    }

    private static String ratio(TrackedMeasure measure, Optional<Estimate> estimate) {
        return estimate.flatMap(need -> measure.limit().map(limit -> limit.ratio(need.value())))
                .map(Figures::ratio)
                .orElse("-");
    }

    /** The table of the fits of a role as Markdown. */
    static String slopes(CapacityModel model, Role role) {
        final MarkdownTable table =
                new MarkdownTable(
                        "measure",
                        "size: unit",
                        "measured from, to",
                        "values",
                        "intercept",
                        "slope (95 %)",
                        "R²",
                        "commit, seeds");
        model.keys().stream()
                .filter(key -> key.role() == role && isTracked(key))
                .forEach(
                        key ->
                                model.fits(key)
                                        .forEach(
                                                (axis, fit) ->
                                                        table.row(
                                                                "`" + key.measure() + "`",
                                                                CapacityModel.isReciprocal(
                                                                                role, axis)
                                                                        ? "1 / " + axis.unit()
                                                                        : axis.unit(),
                                                                Figures.number(fit.minSize())
                                                                        + ", "
                                                                        + Figures.number(
                                                                                fit.maxSize()),
                                                                Figures.number(fit.points()),
                                                                Figures.number(fit.intercept()),
                                                                Figures.interval(fit),
                                                                Figures.number(fit.rSquared()),
                                                                run(model, key, axis))));
        return table.textOr("No slope: **" + Figures.NOT_MEASURED + "**.");
    }

    /** The commits and seeds of the measurements of a fit. */
    private static String run(CapacityModel model, MeasureKey key, Axis axis) {
        final Map<String, String> seeds =
                model.measurements().stream()
                        .filter(
                                row ->
                                        row.role() == key.role()
                                                && row.measure().equals(key.measure())
                                                && row.axis().equals(Optional.of(axis))
                                                && !row.heldOut()
                                                && !row.partial())
                        .collect(
                                Collectors.groupingBy(
                                        Measurement::commit,
                                        TreeMap::new,
                                        Collectors.mapping(
                                                Measurement::seed,
                                                Collectors.collectingAndThen(
                                                        Collectors.toSet(),
                                                        set ->
                                                                set.stream()
                                                                        .sorted()
                                                                        .collect(
                                                                                Collectors.joining(
                                                                                        ", "))))));
        return seeds.entrySet().stream()
                .map(each -> "`" + each.getKey() + "`, " + each.getValue())
                .collect(Collectors.joining("; "));
    }

    private static Stream<TrackedMeasure> of(Role role) {
        return Stream.of(TrackedMeasure.values()).filter(measure -> measure.role() == role);
    }

    /** Returns whether the page shows the measure; it omits others of the measurement files. */
    static boolean isTracked(MeasureKey key) {
        return of(key.role())
                .anyMatch(
                        each ->
                                each.measure().equals(key.measure())
                                        && !each.isMeasuredAtStandIn());
    }
}
