package cresschute.logs;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A log event with a name, a human-readable message, and fields for programs. The JDK sink writes
 * the message only; a structured sink also writes the name and the fields. The on-call page lists
 * all names. Not thread-safe: one thread builds it, and it must not change after it is logged.
 */
public final class LogEvent {

    /**
     * A named value of an event.
     *
     * @param value a string, a number or a boolean
     */
    public record Field(String name, Object value) {}

    private final String name;
    private final String text;
    private final List<Field> fields = new ArrayList<>(4);
    private Throwable cause;

    private LogEvent(String name, String text) {
        this.name = name;
        this.text = text;
    }

    /**
     * Creates an event without fields.
     *
     * @param name the name of the event, lower case with underscores
     * @param text the human-readable message
     */
    public static LogEvent of(String name, String text) {
        return new LogEvent(name, text);
    }

    /** Adds a field. A value that is neither a number nor a boolean is converted to a string. */
    public LogEvent with(String field, Object value) {
        fields.add(
                new Field(
                        field,
                        value instanceof Number || value instanceof Boolean
                                ? value
                                : String.valueOf(value)));
        return this;
    }

    /** Sets the cause; sinks write its stack trace after the message. */
    public LogEvent withCause(Throwable cause) {
        this.cause = cause;
        return this;
    }

    /** Logs this event. */
    public void log(Logger logger, Level level) {
        if (logger instanceof RoutedLogger routed) {
            routed.log(level, this);
        } else {
            logger.log(level, text, cause);
        }
    }

    /** The name of the event. */
    public String name() {
        return name;
    }

    /** The human-readable message. */
    public String text() {
        return text;
    }

    /** The fields, in the order they were added. */
    public List<Field> fields() {
        return Collections.unmodifiableList(fields);
    }

    /** The cause, or null. */
    public Throwable cause() {
        return cause;
    }

    @Override
    public String toString() {
        return text;
    }
}
