package cresschute.node;

import cresschute.logs.LogEvent;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;

/**
 * Ends the process when its event loop has ended though nobody stopped the node, with a last log
 * line and a code that is not 0. Any thread.
 */
final class ProcessExit {

    /** The exit code; EX_SOFTWARE of sysexits.h. */
    static final int CODE = 70;

    private static final Logger LOG = System.getLogger("cresschute.node");

    /** Prepared, because there may be no memory for it later. */
    private static final byte[] LINE =
            "SEVERE cresschute.node the event loop ended; no memory to say why\n"
                    .getBytes(StandardCharsets.UTF_8);

    private ProcessExit() {}

    /**
     * Logs why, and ends the process at once, without its shutdown hooks: these would wait for the
     * loop.
     *
     * @param status the last status of the node
     * @param cause what ended the loop, or null
     */
    static void afterLoopEnded(String status, Throwable cause) {
        try {
            final Runtime runtime = Runtime.getRuntime();
            LogEvent.of(
                            "loop_ended",
                            "the event loop ended: "
                                    + cause
                                    + "; heap "
                                    + (runtime.totalMemory() - runtime.freeMemory())
                                    + " of "
                                    + runtime.maxMemory()
                                    + " bytes; "
                                    + status)
                    .log(LOG, Level.ERROR);
        } catch (Throwable e) {
            writePreparedLine();
        } finally {
            Runtime.getRuntime().halt(CODE);
        }
    }

    private static void writePreparedLine() {
        try (FileOutputStream err = new FileOutputStream(FileDescriptor.err)) {
            err.write(LINE);
        } catch (IOException e) {
            // Nobody reads it.
        }
    }
}
