package cresschute.settings;

import cresschute.settings.script.Position;

/** Something wrong with a settings script. */
public record Problem(Position position, String message) implements Comparable<Problem> {

    @Override
    public int compareTo(Problem other) {
        return position.compareTo(other.position);
    }

    /** The line that reports it: the file, line and column, and what is wrong. */
    public String format(String file) {
        return file + ":" + position + ": " + message;
    }
}
