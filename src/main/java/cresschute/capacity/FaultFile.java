package cresschute.capacity;

import java.util.ArrayList;
import java.util.List;

/** The format of a file of values measured during faults. */
public final class FaultFile {

    /** The first line of such a file. */
    public static final String VERSION_LINE = "# cresschute capacity faults, version 1";

    /** The columns, in order. */
    public static final List<String> COLUMNS =
            List.of(
                    "run",
                    "commit",
                    "date",
                    "seed",
                    "fault",
                    "repetition",
                    "measure",
                    "value",
                    "partial");

    private FaultFile() {}

    /** Returns whether a file's text is that of a fault file of any version. */
    public static boolean isFaultFile(String text) {
        return text.startsWith("# cresschute capacity faults");
    }

    /**
     * Reads a file's text.
     *
     * @param file the file name for error messages
     * @throws CsvFormatException if any line is malformed
     */
    public static List<FaultMeasurement> parse(String file, String text) throws CsvFormatException {
        final List<FaultMeasurement> measurements = new ArrayList<>();
        for (final CsvTable.Row row : new CsvTable(file, text, VERSION_LINE, COLUMNS).rows()) {
            final String label = row.text("fault");
            final FaultKind fault =
                    FaultKind.of(label)
                            .orElseThrow(() -> row.error("fault: '" + label + "' is unknown"));
            measurements.add(
                    new FaultMeasurement(
                            row.text("run"),
                            row.text("commit"),
                            row.text("date"),
                            row.text("seed"),
                            fault,
                            row.count("repetition"),
                            row.text("measure"),
                            row.number("value"),
                            row.flag("partial")));
        }
        return List.copyOf(measurements);
    }
}
