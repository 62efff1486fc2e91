package cresschute.logs;

import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Logger;

/**
 * Writes messages by {@link java.util.logging}, as its own properties configure it. Needs no
 * library, so a small node that does not log structured events loads none. Thread-safe.
 */
final class JdkLogSink implements LogSink {

    /** Referenced here, since the JDK holds loggers by weak references only. */
    private final Map<String, Logger> loggers = new ConcurrentHashMap<>();

    @Override
    public boolean isLoggable(String logger, Level level) {
        return logger(logger).isLoggable(toJdk(level));
    }

    @Override
    public void log(String logger, Level level, LogEvent event) {
        // With class and method given, even as null, the JDK does not walk the stack for them.
        logger(logger).logp(toJdk(level), null, null, event.text(), event.cause());
    }

    private Logger logger(String name) {
        return loggers.computeIfAbsent(name, Logger::getLogger);
    }

    private static java.util.logging.Level toJdk(Level level) {
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
