package cresschute.node;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers open until the process ends, so that log lines of a
 * graceful shutdown are written. Selected by the system property {@code java.util.logging.manager}
 * on the command line.
 */
public final class StayingLogManager extends LogManager {

    /**
     * Does nothing. The JVM calls this method when its shutdown begins, and the default
     * implementation would close all handlers.
     */
    @Override
    public void reset() {
        // The handlers are closed when the process ends.
    }
}
