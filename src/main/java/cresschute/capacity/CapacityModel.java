package cresschute.capacity;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A linear cost model: for each measure one least-squares fit along each axis. The estimate for
 * given sizes is the value at the base of the sweep plus, for each axis, its slope times the
 * distance from the base. The base holds the sizes at which the axes are fixed while another one is
 * varied.
 */
public final class CapacityModel {

    private record Series(Map<Axis, LinearFit> fits, Map<Axis, Double> base) {}

    private final List<Measurement> measurements;
    private final Map<MeasureKey, Series> series = new LinkedHashMap<>();

    /** Fits all measurements along an axis that are neither held out nor partial. */
    public CapacityModel(List<Measurement> measurements) {
        this.measurements = List.copyOf(measurements);
        measurements.stream()
                .filter(CapacityModel::isFitted)
                .collect(
                        Collectors.groupingBy(
                                each -> new MeasureKey(each.role(), each.measure()),
                                LinkedHashMap::new,
                                Collectors.toList()))
                .forEach((key, rows) -> series.put(key, series(rows)));
    }

    private static boolean isFitted(Measurement measurement) {
        return measurement.axis().isPresent() && !measurement.heldOut() && !measurement.partial();
    }

    private static Series series(List<Measurement> rows) {
        final Map<Axis, LinearFit> fits = new EnumMap<>(Axis.class);
        final Map<Axis, Double> base = new EnumMap<>(Axis.class);
        for (final Axis axis : Axis.values()) {
            LinearFit.of(
                            rows.stream()
                                    .filter(row -> row.axis().equals(Optional.of(axis)))
                                    .map(
                                            row ->
                                                    new LinearFit.Point(
                                                            position(row.role(), axis, row.sizes()),
                                                            row.value()))
                                    .toList())
                    .ifPresent(fit -> fits.put(axis, fit));
            base.put(axis, base(rows, axis));
        }
        return new Series(fits, base);
    }

    /**
     * The mean size along an axis of the measurements that varied another axis; the mean of all
     * measurements where there is none.
     */
    private static double base(List<Measurement> rows, Axis axis) {
        final List<Measurement> others =
                rows.stream().filter(row -> !row.axis().equals(Optional.of(axis))).toList();
        return (others.isEmpty() ? rows : others)
                .stream()
                        .mapToDouble(row -> position(row.role(), axis, row.sizes()))
                        .average()
                        .orElse(0);
    }

    /**
     * Returns whether a role's measures are linear in the reciprocal of the size along an axis.
     * This holds for a dispatcher and the number of dispatchers: each of n does an n-th of the
     * work.
     */
    static boolean isReciprocal(Role role, Axis axis) {
        return role == Role.DISPATCHER && axis == Axis.DISPATCHERS;
    }

    private static double position(Role role, Axis axis, Sizes sizes) {
        return isReciprocal(role, axis) ? 1 / sizes.on(axis) : sizes.on(axis);
    }

    /** Returns all measurements, in the order of their files. */
    public List<Measurement> measurements() {
        return measurements;
    }

    /** The measures that have at least one fit. */
    public List<MeasureKey> keys() {
        return series.entrySet().stream()
                .filter(each -> !each.getValue().fits().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The fits of a measure, by axis. */
    public Map<Axis, LinearFit> fits(MeasureKey key) {
        return series.containsKey(key)
                ? Collections.unmodifiableMap(series.get(key).fits())
                : Map.of();
    }

    /** The estimate of a measure at these sizes; empty where it has no fit. */
    public Optional<Estimate> estimate(MeasureKey key, Sizes sizes) {
        final Map<Axis, LinearFit> fits = fits(key);
        if (fits.isEmpty()) {
            return Optional.empty();
        }
        final Map<Axis, Double> base = series.get(key).base();
        double value =
                fits.entrySet().stream()
                        .mapToDouble(each -> each.getValue().at(base.get(each.getKey())))
                        .average()
                        .orElseThrow();
        double squares =
                fits.values().stream()
                        .mapToDouble(fit -> Math.pow(fit.meanHalfWidth() / fits.size(), 2))
                        .sum();
        boolean extrapolated = false;
        for (final Map.Entry<Axis, LinearFit> each : fits.entrySet()) {
            final double position = position(key.role(), each.getKey(), sizes);
            final double distance = position - base.get(each.getKey());
            value += each.getValue().slope() * distance;
            squares += Math.pow(each.getValue().slopeHalfWidth() * distance, 2);
            extrapolated |= each.getValue().extrapolates(position);
        }
        return Optional.of(new Estimate(value, Math.sqrt(squares), extrapolated));
    }
}
