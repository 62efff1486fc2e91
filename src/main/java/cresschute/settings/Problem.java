package cresschute.settings;

import cresschute.settings.script.Position;

/** An error in a settings script. */
public record Problem(Position position, String message) implements Comparable<Problem> {

    @Override
    public int compareTo(Problem other) {
        return position.compareTo(other.position);
    }

    /** Formats the problem as one line: file, line, column and message. */
    public String format(String file) {
        return file + ":" + position + ": " + message;
    }
}
