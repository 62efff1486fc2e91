package cresschute.testbed.capacity;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** How the experiment's processes are started and ended. */
final class ProcessCommand {

    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private ProcessCommand() {}

    /**
     * Begins a Java command. Ctrl-C goes to all of a terminal's processes and is for the first one
     * alone.
     */
    static List<String> java() {
        return List.of(
                "env",
                "--ignore-signal=INT",
                Path.of(System.getProperty("java.home"), "bin", "java").toString());
    }

    /** Ends a process at once and waits until it is gone. */
    static void kill(Process process) {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
