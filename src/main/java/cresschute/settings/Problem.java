package cresschute.settings;

import cresschute.settings.script.Position;

/** Something wrong with a settings script. */
public record Problem(Position at, String message) implements Comparable<Problem> {

    @Override
    public int compareTo(Problem other) {
        return at.compareTo(other.at);
    }

    /** The line that reports it: the file, line and column, and what is wrong. */
    public String line(String file) {
        return file + ":" + at + ": " + message;
    }
}
