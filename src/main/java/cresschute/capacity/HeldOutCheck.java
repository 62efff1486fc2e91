package cresschute.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * How far the fits are off at a point that they do not use.
 *
 * @param key the measure
 * @param run the run that measured the point
 * @param points how many measurements of it there are
 * @param partial whether any of them is partial
 * @param measured their mean
 * @param predicted what the fits say, at the mean of their sizes
 */
public record HeldOutCheck(CapacityModel.Key key, String run, int points, boolean partial, double measured,
    Estimate predicted) {

    private record Group(CapacityModel.Key key, String run, String axis) {}

    private static final double PERCENT = 100;

    /** The checks of all points held out, for measures that have fits. */
    public static List<HeldOutCheck> of(CapacityModel model) {
        final List<HeldOutCheck> checks = new ArrayList<>();
        model.measurements().stream().filter(Measurement::heldOut)
            .collect(Collectors.groupingBy(HeldOutCheck::group, LinkedHashMap::new, Collectors.toList()))
            .forEach((group, rows) -> model.estimate(group.key(), meanSizes(rows))
                .ifPresent(predicted -> checks.add(check(group, rows, predicted))));
        return List.copyOf(checks);
    }

    private static Group group(Measurement row) {
        return new Group(new CapacityModel.Key(row.role(), row.measure()), row.run(),
            row.axis().map(Axis::label).orElse(Axis.FULL));
    }

    private static HeldOutCheck check(Group group, List<Measurement> rows, Estimate predicted) {
        return new HeldOutCheck(group.key(), group.run(), rows.size(),
            rows.stream().anyMatch(Measurement::partial),
            rows.stream().mapToDouble(Measurement::value).average().orElseThrow(), predicted);
    }

    private static Sizes meanSizes(List<Measurement> rows) {
        final Map<Axis, Double> sizes = new EnumMap<>(Axis.class);
        for (final Axis axis : Axis.values()) {
            sizes.put(axis,
                rows.stream().mapToDouble(row -> row.sizes().on(axis)).average().orElseThrow());
        }
        return new Sizes(sizes);
    }

    /** How far the prediction is above the measured value, in per cent of that; NaN where that is 0. */
    public double offPercent() {
        return measured == 0 ? Double.NaN : PERCENT * (predicted.value() - measured) / Math.abs(measured);
    }

    /** Whether the measured value lies in the prediction's interval. */
    public boolean withinInterval() {
        return Math.abs(measured - predicted.value()) <= predicted.halfWidth();
    }
}
