package cresschute.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A cost beside its limit.
 *
 * @param need description of the cost
 * @param amount the cost, as the page writes it
 * @param limit the limit, as the page writes it
 * @param ratio cost divided by limit; empty if there is no figure
 * @param mechanism the class that causes or bounds the cost
 * @param source where the figure comes from, or why there is none
 */
record RatioRow(
        String need,
        String amount,
        String limit,
        Optional<Double> ratio,
        String mechanism,
        String source) {

    /**
     * All costs that have a limit, at a size, sorted by falling ratio; those without figure last.
     */
    static List<RatioRow> of(CapacityModel model, PlannedSize size) {
        final List<RatioRow> rows = new ArrayList<>();
        for (final TrackedMeasure measure : TrackedMeasure.values()) {
            measure.limit().ifPresent(limit -> rows.add(measured(model, measure, limit, size)));
        }
        for (final StatedBound bound : StatedBound.values()) {
            rows.add(stated(bound, size));
        }
        rows.sort(Comparator.comparingDouble(row -> -row.ratio().orElse(Double.NEGATIVE_INFINITY)));
        return rows;
    }

    private static RatioRow measured(
            CapacityModel model, TrackedMeasure measure, Limit limit, PlannedSize size) {
        final Optional<Estimate> estimate = measure.estimate(model, size.sizes());
        final String need =
                measure.role().label()
                        + " `"
                        + measure.measure()
                        + "` ("
                        + measure.kind().label()
                        + "), "
                        + measure.unit();
        return new RatioRow(
                need,
                estimate.map(Figures::estimate).orElse(Figures.NOT_MEASURED),
                Figures.number(limit.value()) + " (" + limit.source() + ")",
                estimate.map(each -> limit.ratio(each.value())),
                Mechanism.markdown(measure.mechanism()),
                estimate.isPresent() ? "the sweep's fits" : measure.reasonNotMeasured());
    }

    private static RatioRow stated(StatedBound bound, PlannedSize size) {
        final Optional<Limit> limit = bound.limit();
        return new RatioRow(
                bound.need(),
                limit.isPresent() ? Figures.number(bound.amount(size)) : Figures.NOT_MEASURED,
                limit.map(each -> Figures.number(each.value())).orElse("-"),
                limit.map(each -> each.ratio(bound.amount(size))),
                Mechanism.markdown(bound.mechanism()),
                limit.map(each -> "arithmetic: " + each.source()).orElse("nothing carries it"));
    }

    /** Returns whether the cost has a figure. */
    boolean hasFigure() {
        return ratio.isPresent();
    }
}
