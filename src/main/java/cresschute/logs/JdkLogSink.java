package cresschute.logs;

import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Logger;

/**
 * Writes messages with {@link java.util.logging}, as configured by its own properties. It needs no
 * library, so a small node without structured logs loads none. Thread-safe.
 */
final class JdkLogSink implements LogSink {

    /** Strong references to the loggers, because the JDK holds them by weak references only. */
    private final Map<String, Logger> loggers = new ConcurrentHashMap<>();

    @Override
    public boolean isLoggable(String logger, Level level) {
        return logger(logger).isLoggable(toJdk(level));
    }

    @Override
    public void log(String logger, Level level, LogEvent event) {
        // If class and method are given, even as null, the JDK does not walk the stack to infer
        // them.
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
