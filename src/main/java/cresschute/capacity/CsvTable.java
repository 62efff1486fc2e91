package cresschute.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * A comma-separated file without quoting, with a version line and a header. The number of fields in
 * each row is checked.
 */
final class CsvTable {

    /** The lines before the first row: the version and the header. */
    private static final int HEADER_LINES = 2;

    /** One row, with typed access to its fields; errors name the file and the line. */
    static final class Row {

        private final CsvTable table;
        private final int line;
        private final String[] fields;

        private Row(CsvTable table, int line, String[] fields) {
            this.table = table;
            this.line = line;
            this.fields = fields;
        }

        /** An error that names the file and the line of this row. */
        CsvFormatException error(String reason) {
            return table.error(line, reason);
        }

        /** The value of a field that must not be empty. */
        String text(String column) throws CsvFormatException {
            final String value = fields[table.indexOf(column)].strip();
            if (value.isEmpty()) {
                throw error(column + " is empty");
            }
            return value;
        }

        /** A finite number. */
        double number(String column) throws CsvFormatException {
            final String value = text(column);
            final double number;
            try {
                number = Double.parseDouble(value);
            } catch (NumberFormatException e) {
                throw error(column + ": '" + value + "' is not a number");
            }
            if (!Double.isFinite(number)) {
                throw error(column + ": '" + value + "' is not finite");
            }
            return number;
        }

        /** A finite number that is not negative. */
        double size(String column) throws CsvFormatException {
            final double number = number(column);
            if (number < 0) {
                throw error(column + ": '" + text(column) + "' is negative");
            }
            return number;
        }

        /** An integer that is not negative. */
        int count(String column) throws CsvFormatException {
            final double number = size(column);
            if (number != Math.rint(number) || number > Integer.MAX_VALUE) {
                throw error(column + ": '" + text(column) + "' is not an integer");
            }
            return (int) number;
        }

        /** {@code true} or {@code false}, also written as 1 or 0. */
        boolean flag(String column) throws CsvFormatException {
            final String value = text(column);
            return switch (value) {
                case "true", "1" -> true;
                case "false", "0" -> false;
                default -> throw error(column + ": '" + value + "' is neither true nor false");
            };
        }
    }

    private final String file;
    private final List<String> columns;
    private final List<Row> rows = new ArrayList<>();

    /**
     * Reads a file's text, which must begin with the version line and then name these columns in
     * this order.
     *
     * @throws CsvFormatException if its version, header or a row is malformed
     */
    CsvTable(String file, String text, String versionLine, List<String> columns)
            throws CsvFormatException {
        this.file = file;
        this.columns = columns;
        final List<String> lines = text.lines().toList();
        checkHeader(lines, versionLine);
        if (!text.endsWith("\n")) {
            throw new CsvFormatException(
                    file, lines.size(), "the file is truncated: its last line has no line feed");
        }
        for (int i = HEADER_LINES; i < lines.size(); i++) {
            final String[] fields = lines.get(i).split(",", -1);
            if (fields.length != columns.size()) {
                throw new CsvFormatException(
                        file,
                        i + 1,
                        fields.length + " fields where " + columns.size() + " are expected");
            }
            rows.add(new Row(this, i + 1, fields));
        }
    }

    private void checkHeader(List<String> lines, String versionLine) throws CsvFormatException {
        if (lines.isEmpty() || !lines.get(0).strip().equals(versionLine)) {
            throw new CsvFormatException(file, 1, "the first line must be '" + versionLine + "'");
        }
        if (lines.size() < HEADER_LINES
                || !lines.get(1).strip().equals(String.join(",", columns))) {
            throw new CsvFormatException(
                    file, HEADER_LINES, "the header must be '" + String.join(",", columns) + "'");
        }
    }

    private CsvFormatException error(int line, String reason) {
        return new CsvFormatException(file, line, reason);
    }

    private int indexOf(String column) {
        return columns.indexOf(column);
    }

    /** All rows, in the order of their lines. */
    List<Row> rows() {
        return rows;
    }
}
