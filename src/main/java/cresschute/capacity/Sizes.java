package cresschute.capacity;

import java.util.EnumMap;
import java.util.Map;

/**
 * A size along every axis.
 *
 * @param values the size by axis; every axis has one
 */
public record Sizes(Map<Axis, Double> values) {

    /**
     * Copies the values.
     *
     * @throws IllegalArgumentException if a value is missing, negative, NaN or infinite
     */
    public Sizes {
        final Map<Axis, Double> checked = new EnumMap<>(Axis.class);
        for (final Axis axis : Axis.values()) {
            final Double value = values.get(axis);
            if (value == null || !(value >= 0) || value.isInfinite()) {
                throw new IllegalArgumentException(
                        "size along "
                                + axis.label()
                                + " must be finite and not negative: "
                                + value);
            }
            checked.put(axis, value);
        }
        values = Map.copyOf(checked);
    }

    /** The size along one axis. */
    public double on(Axis axis) {
        return values.get(axis);
    }

    /** A copy of these sizes with another value along one axis. */
    public Sizes with(Axis axis, double value) {
        final Map<Axis, Double> changed = new EnumMap<>(values);
        changed.put(axis, value);
        return new Sizes(changed);
    }
}
