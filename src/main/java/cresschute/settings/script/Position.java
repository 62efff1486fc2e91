package cresschute.settings.script;

/**
 * A position in a script.
 *
 * @param line counted from 1
 * @param column counted from 1, in characters
 */
public record Position(int line, int column) implements Comparable<Position> {

    /** The beginning of a script, for errors without a more exact position. */
    public static final Position START = new Position(1, 1);

    @Override
    public int compareTo(Position other) {
        return line != other.line
                ? Integer.compare(line, other.line)
                : Integer.compare(column, other.column);
    }

    @Override
    public String toString() {
        return line + ":" + column;
    }
}
