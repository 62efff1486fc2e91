package cresschute.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The format of a file of measurements, as the capacity sweep writes it. */
public final class MeasurementFile {

    /** The first line of such a file. */
    public static final String VERSION_LINE = "# cresschute capacity measurements, version 1";

    /** The columns, in order. */
    public static final List<String> COLUMNS =
            List.of(
                    "run",
                    "commit",
                    "date",
                    "seed",
                    "axis",
                    "repetition",
                    "held_out",
                    "workers",
                    "running",
                    "starts_per_second",
                    "tenants",
                    "dispatchers",
                    "list_changes_per_second",
                    "settings_changes_per_second",
                    "role",
                    "measure",
                    "value",
                    "partial");

    private MeasurementFile() {}

    /**
     * Reads a file's text.
     *
     * @param file the file name for error messages
     * @throws CsvFormatException if any line is malformed
     */
    public static List<Measurement> parse(String file, String text) throws CsvFormatException {
        final List<Measurement> measurements = new ArrayList<>();
        for (final CsvTable.Row row : new CsvTable(file, text, VERSION_LINE, COLUMNS).rows()) {
            measurements.add(measurement(row));
        }
        return List.copyOf(measurements);
    }

    private static Measurement measurement(CsvTable.Row row) throws CsvFormatException {
        final String axisLabel = row.text("axis");
        final Optional<Axis> axis = Axis.of(axisLabel);
        if (axis.isEmpty() && !axisLabel.equals(Axis.FULL) && !axisLabel.equals(Axis.NONE)) {
            throw row.error("axis: '" + axisLabel + "' is unknown");
        }
        final boolean heldOut = row.flag("held_out");
        if (axisLabel.equals(Axis.FULL) && !heldOut) {
            throw row.error("axis: a run at full size must be held out");
        }
        final String roleLabel = row.text("role");
        final Role role =
                Role.of(roleLabel)
                        .orElseThrow(() -> row.error("role: '" + roleLabel + "' is unknown"));
        return new Measurement(
                row.text("run"),
                row.text("commit"),
                row.text("date"),
                row.text("seed"),
                axis,
                row.count("repetition"),
                heldOut,
                sizes(row),
                role,
                row.text("measure"),
                row.number("value"),
                row.flag("partial"));
    }

    private static Sizes sizes(CsvTable.Row row) throws CsvFormatException {
        final Map<Axis, Double> sizes = new EnumMap<>(Axis.class);
        for (final Axis axis : Axis.values()) {
            sizes.put(axis, row.size(axis.column()));
        }
        return new Sizes(sizes);
    }
}
