package cresschute.node;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open until the process ends, so that the lines of a graceful
 * shutdown are written. Named by {@code java.util.logging.manager} on the command line.
 */
public final class StayingLogManager extends LogManager {

    /** Does nothing: the JVM calls this as shutdown begins, and it would close all handlers. */
    @Override
    public void reset() {
        // Handlers are closed with the process.
    }
}
