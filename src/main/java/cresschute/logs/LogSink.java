package cresschute.logs;

import java.lang.System.Logger.Level;

/** Writes log events. Thread-safe: called from any thread. */
public interface LogSink {

    /** Whether an event of this logger at this level is written. */
    boolean isLoggable(String logger, Level level);

    /** Writes an event if its level is loggable. */
    void log(String logger, Level level, LogEvent event);
}
