package cresschute.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Builds the text of a file of measurements whose values follow a known function of the sizes. */
final class MeasurementFileBuilder {

    /** A value at these sizes. */
    interface Function {
        double at(Map<Axis, Double> sizes);
    }

    private static final Map<Axis, Double> BASE =
            Map.of(
                    Axis.WORKERS,
                    200.0,
                    Axis.RUNNING,
                    500.0,
                    Axis.STARTS,
                    50.0,
                    Axis.TENANTS,
                    10.0,
                    Axis.DISPATCHERS,
                    3.0,
                    Axis.LIST_CHANGES,
                    0.0,
                    Axis.SETTINGS_CHANGES,
                    0.0);
    private final List<String> lines =
            new ArrayList<>(
                    List.of(
                            MeasurementFile.VERSION_LINE,
                            String.join(",", MeasurementFile.COLUMNS)));
    private int run;

    /** Adds a row of a measurement along an axis, with the other sizes at the base. */
    MeasurementFileBuilder along(
            Axis axis, double size, String role, String measure, Function value) {
        return row(axis.label(), false, Map.of(axis, size), role, measure, value, false);
    }

    /** Adds a held-out row at full size. */
    MeasurementFileBuilder atFullSize(String role, String measure, Function value) {
        return row(
                Axis.FULL,
                true,
                PlannedSize.OPERATORS.sizes().values(),
                role,
                measure,
                value,
                false);
    }

    /** Adds a row with all its properties; sizes that are not given are those of the base. */
    MeasurementFileBuilder row(
            String axis,
            boolean heldOut,
            Map<Axis, Double> sizes,
            String role,
            String measure,
            Function value,
            boolean partial) {
        final Map<Axis, Double> all = new EnumMap<>(BASE);
        all.putAll(sizes);
        final StringBuilder line =
                new StringBuilder(
                        "r" + ++run + ",abc1234,2026-12-02T05:00:00Z,7," + axis + ",1," + heldOut);
        for (final Axis each : Axis.values()) {
            line.append(',').append(all.get(each));
        }
        lines.add(
                line
                        + ","
                        + role
                        + ","
                        + measure
                        + ","
                        + String.format(Locale.ROOT, "%.9f", value.at(all))
                        + ","
                        + partial);
        return this;
    }

    /** The file's text. */
    String text() {
        return String.join("\n", lines) + "\n";
    }

    /** The file's rows. */
    List<Measurement> measurements() throws CsvFormatException {
        return MeasurementFile.parse("sweep.csv", text());
    }
}
