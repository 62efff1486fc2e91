package cresschute.logs;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One line of the log: the name of its kind, a text for people, and fields for programs. The text
 * alone is what a plain back end writes; a structured one writes the name and the fields too. The
 * on-call page lists all names. Used by one thread at a time and not after it is logged.
 */
public final class LogEvent {

    /** A field; its value is a text, a number or a truth value. */
    public record Field(String name, Object value) {}

    private final String name;
    private final String text;
    private final List<Field> fields = new ArrayList<>(4);
    private Throwable thrown;

    private LogEvent(String name, String text) {
        this.name = name;
        this.text = text;
    }

    /** An event without fields yet; names are lower case with underscores. */
    public static LogEvent of(String name, String text) {
        return new LogEvent(name, text);
    }

    /** Adds a field. What is no number or truth value is written as its text. */
    public LogEvent with(String field, Object value) {
        fields.add(
                new Field(
                        field,
                        value instanceof Number || value instanceof Boolean
                                ? value
                                : String.valueOf(value)));
        return this;
    }

    /** Adds what was thrown; its trace follows the line. */
    public LogEvent because(Throwable cause) {
        thrown = cause;
        return this;
    }

    /** Logs it. Any thread. */
    public void log(Logger logger, Level level) {
        if (logger instanceof RoutedLogger routed) {
            routed.log(level, this);
        } else {
            logger.log(level, text, thrown);
        }
    }

    /** The name of its kind. */
    public String name() {
        return name;
    }

    /** The text for people. */
    public String text() {
        return text;
    }

    /** The fields, in the order they were added. */
    public List<Field> fields() {
        return Collections.unmodifiableList(fields);
    }

    /** What was thrown, or null. */
    public Throwable thrown() {
        return thrown;
    }

    @Override
    public String toString() {
        return text;
    }
}
