package cresschute.capacity;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Straight lines through the measurements of each measure, one along each axis, and values reckoned
 * from them: the value where the sweep varied nothing, and for each axis its slope times the
 * distance from there.
 */
public final class CapacityModel {

    /**
     * A measure of a role.
     *
     * @param role whose it is
     * @param measure its name in the measurement files
     */
    public record Key(Role role, String measure) {}

    private record Series(Map<Axis, LinearFit> fits, Map<Axis, Double> base) {}

    private final List<Measurement> all;
    private final Map<Key, Series> series = new LinkedHashMap<>();

    /** Fits all measurements along an axis that are neither held out nor partial. */
    public CapacityModel(List<Measurement> measurements) {
        this.all = List.copyOf(measurements);
        all.stream()
                .filter(CapacityModel::isFitted)
                .collect(
                        Collectors.groupingBy(
                                each -> new Key(each.role(), each.measure()),
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

    /** The size along an axis while others are varied, or its mean where no other is. */
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
     * Whether a role's measures go by the reciprocal of the size along an axis: what one dispatcher
     * does is its even part of what all of them do.
     */
    static boolean isReciprocal(Role role, Axis axis) {
        return role == Role.DISPATCHER && axis == Axis.DISPATCHERS;
    }

    private static double position(Role role, Axis axis, Sizes sizes) {
        return isReciprocal(role, axis) ? 1 / sizes.on(axis) : sizes.on(axis);
    }

    /** All measurements, in the order of their files. */
    public List<Measurement> measurements() {
        return all;
    }

    /** The measures that have at least one fit. */
    public List<Key> keys() {
        return series.entrySet().stream()
                .filter(each -> !each.getValue().fits().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The fits of a measure, by axis. */
    public Map<Axis, LinearFit> fits(Key key) {
        return series.containsKey(key)
                ? Collections.unmodifiableMap(series.get(key).fits())
                : Map.of();
    }

    /** The value of a measure at these sizes; nothing where it has no fit. */
    public Optional<Estimate> estimate(Key key, Sizes sizes) {
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
