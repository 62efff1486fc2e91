package cresschute.logs;

import java.lang.System.Logger;
import java.text.MessageFormat;
import java.util.MissingResourceException;
import java.util.ResourceBundle;

/** A logger that writes each event to the sink that is set at that time. Thread-safe. */
final class RoutedLogger implements Logger {

    private final String name;

    /** Creates a logger with this name. */
    RoutedLogger(String name) {
        this.name = name;
    }

    @Override
    public String getName() {
        return name;
    }

    @Override
    public boolean isLoggable(Level level) {
        return RoutedLoggerFinder.sink().isLoggable(name, level);
    }

    /** Writes an event if its level is loggable. */
    void log(Level level, LogEvent event) {
        if (isLoggable(level)) {
            RoutedLoggerFinder.sink().log(name, level, event);
        }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
        if (isLoggable(level)) {
            log(level, LogEvent.of("plain", localized(bundle, text)).withCause(thrown));
        }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... values) {
        if (isLoggable(level)) {
            final String text = localized(bundle, format);
            log(
                    level,
                    LogEvent.of(
                            "plain",
                            values == null || values.length == 0
                                    ? text
                                    : MessageFormat.format(text, values)));
        }
    }

    private static String localized(ResourceBundle bundle, String text) {
        try {
            return bundle == null || text == null ? String.valueOf(text) : bundle.getString(text);
        } catch (MissingResourceException e) {
            return text;
        }
    }
}
