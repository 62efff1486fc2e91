package cresschute.capacity;

import java.util.ArrayList;
import java.util.List;

/** A table in Markdown, built row by row. */
final class MarkdownTable {

    private final int columns;
    private final List<String> lines = new ArrayList<>();

    /** Creates a table without rows. */
    MarkdownTable(String... header) {
        columns = header.length;
        lines.add(line(List.of(header)));
        lines.add("| --- ".repeat(columns) + "|");
    }

    /**
     * Appends a row.
     *
     * @throws IllegalArgumentException if it has more or fewer cells than the header
     */
    MarkdownTable row(String... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException(
                    cells.length + " cells in a row, expected " + columns);
        }
        lines.add(line(List.of(cells)));
        return this;
    }

    private static String line(List<String> cells) {
        return "| " + String.join(" | ", cells) + " |";
    }

    /** The table, or a sentence instead if it has no rows; each line ends with a line feed. */
    String textOr(String sentence) {
        return lines.size() == 2 ? sentence + "\n" : String.join("\n", lines) + "\n";
    }
}
