package cresschute.logs;

import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Logger;

/**
 * The light back end, which the JDK has: {@link java.util.logging}, as its own properties configure
 * it.
 */
final class PlainBackend implements LogBackend {

    /** Held here, as the JDK itself forgets loggers that nobody holds. */
    private final Map<String, Logger> loggers = new ConcurrentHashMap<>();

    @Override
    public boolean isLoggable(String logger, Level level) {
        return logger(logger).isLoggable(plain(level));
    }

    @Override
    public void log(String logger, Level level, LogEvent event) {
        // With a source told, the JDK does not walk the stack for one.
        logger(logger).logp(plain(level), null, null, event.text(), event.thrown());
    }

    private Logger logger(String name) {
        return loggers.computeIfAbsent(name, Logger::getLogger);
    }

    private static java.util.logging.Level plain(Level level) {
        return switch (level) {
            case ALL -> java.util.logging.Level.ALL;
            case TRACE -> java.util.logging.Level.FINER;
            case DEBUG -> java.util.logging.Level.FINE;
            case INFO -> java.util.logging.Level.INFO;
            case WARNING -> java.util.logging.Level.WARNING;
            case ERROR -> java.util.logging.Level.SEVERE;
            case OFF -> java.util.logging.Level.OFF;
        };
    }
}
