package cresschute.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Validates the fits at a point that was held out of them.
 *
 * @param key the measure
 * @param runs the runs that measured the point
 * @param points number of measurements of the point
 * @param partial whether any of these measurements is partial
 * @param measured the mean of these measurements
 * @param predicted the estimate of the fits at the same sizes
 */
public record HeldOutCheck(
        MeasureKey key,
        String runs,
        int points,
        boolean partial,
        double measured,
        Estimate predicted) {

    private record Group(MeasureKey key, Optional<Axis> axis, Sizes sizes) {}

    private static final double PERCENT = 100;

    /**
     * Checks all held-out points of measures that have fits. Partial measurements are used only for
     * a point that has no complete one.
     */
    public static List<HeldOutCheck> of(CapacityModel model) {
        final List<HeldOutCheck> checks = new ArrayList<>();
        model.measurements().stream()
                .filter(Measurement::heldOut)
                .collect(
                        Collectors.groupingBy(
                                HeldOutCheck::group, LinkedHashMap::new, Collectors.toList()))
                .forEach(
                        (group, rows) -> {
                            final List<Measurement> used = completeOrAll(rows);
                            model.estimate(group.key(), group.sizes())
                                    .ifPresent(
                                            predicted -> checks.add(check(group, used, predicted)));
                        });
        return List.copyOf(checks);
    }

    private static List<Measurement> completeOrAll(List<Measurement> rows) {
        final List<Measurement> complete = rows.stream().filter(row -> !row.partial()).toList();
        return complete.isEmpty() ? rows : complete;
    }

    private static Group group(Measurement row) {
        return new Group(new MeasureKey(row.role(), row.measure()), row.axis(), row.sizes());
    }

    private static HeldOutCheck check(Group group, List<Measurement> rows, Estimate predicted) {
        return new HeldOutCheck(
                group.key(),
                rows.stream().map(Measurement::run).distinct().collect(Collectors.joining(", ")),
                rows.size(),
                rows.stream().anyMatch(Measurement::partial),
                rows.stream().mapToDouble(Measurement::value).average().orElseThrow(),
                predicted);
    }

    /** Error of the prediction in per cent of the measured value; NaN if that is 0. */
    public double errorPercent() {
        return measured == 0
                ? Double.NaN
                : PERCENT * (predicted.value() - measured) / Math.abs(measured);
    }

    /** Returns whether the measured value lies in the prediction's interval. */
    public boolean withinInterval() {
        return Math.abs(measured - predicted.value()) <= predicted.halfWidth();
    }
}
