package cresschute.logs;

import java.lang.System.Logger.Level;

/** What writes the log. Called from any thread. */
public interface LogBackend {

    /** Whether a line of this logger at this level would be written. */
    boolean isLoggable(String logger, Level level);

    /** Writes a line. */
    void log(String logger, Level level, LogEvent event);
}
