package cresschute.testbed.capacity;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts and kills the processes of an experiment. */
final class ProcessCommand {

    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private ProcessCommand() {}

    /**
     * The beginning of a Java command. The process ignores SIGINT, because Ctrl-C in a terminal
     * signals all its processes and only the experiment itself is to handle it.
     */
    static List<String> java() {
        return List.of(
                "env",
                "--ignore-signal=INT",
                Path.of(System.getProperty("java.home"), "bin", "java").toString());
    }

    /** Kills a process and waits until it has exited, at most {@link #EXIT_TIMEOUT_SECONDS}. */
    static void kill(Process process) {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
