package cresschute.node;

import java.util.logging.LogManager;

/**
 * Keeps the log open while the program stops. Guards against losing the lines of a planned restart.
 */
public final class StayingLogManager extends LogManager {

    /** Would close all handlers, and is called at the very beginning of an exit. */
    @Override
    public void reset() {
        // Handlers end with the process.
    }
}
