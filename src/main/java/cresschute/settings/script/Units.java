package cresschute.settings.script;

import cresschute.settings.script.Values.Dimension;
import cresschute.settings.script.Values.Quantity;
import java.util.List;
import java.util.Map;

/** The units of times and sizes, smallest first. */
final class Units {

    private static final List<Map.Entry<String, Double>> TIMES =
            List.of(
                    Map.entry("us", 1.0),
                    Map.entry("ms", 1e3),
                    Map.entry("s", 1e6),
                    Map.entry("minutes", 60e6),
                    Map.entry("hours", 3600e6));
    private static final List<Map.Entry<String, Double>> SIZES =
            List.of(
                    Map.entry("B", 1.0),
                    Map.entry("KiB", 1024.0),
                    Map.entry("MiB", 1024.0 * 1024),
                    Map.entry("GiB", 1024.0 * 1024 * 1024));

    private Units() {}

    /**
     * Returns the units of a dimension with their amounts: times in microseconds, sizes in bytes.
     */
    static List<Map.Entry<String, Double>> of(Dimension dimension) {
        return dimension == Dimension.TIME ? TIMES : SIZES;
    }

    /** Adds the units as values under their names. */
    static void addTo(Map<String, Object> names) {
        for (final Dimension dimension : Dimension.values()) {
            of(dimension)
                    .forEach(
                            unit ->
                                    names.put(
                                            unit.getKey(),
                                            new Quantity(dimension, unit.getValue())));
        }
    }
}
