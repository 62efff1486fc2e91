package cresschute.cli;

import cresschute.ProgramProcess;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Starts the program as a process, for tests. */
final class Programs {

    /** Longest run time of a program, s. */
    private static final long MAX_RUN_S = 40;

    private Programs() {}

    /** The command line of the program, with assertions enabled. */
    static ProcessBuilder program(String... args) {
        return new ProcessBuilder(ProgramProcess.command(List.of("-ea"), args));
    }

    /**
     * Starts a process and kills it after {@link #MAX_RUN_S}, because a test that blocks on reading
     * its output does not react to its own time limit.
     */
    static Process start(ProcessBuilder builder) throws IOException {
        final Process process = builder.start();
        CompletableFuture.delayedExecutor(MAX_RUN_S, TimeUnit.SECONDS)
                .execute(process::destroyForcibly);
        return process;
    }

    /** Sends a signal by its name. */
    static void signal(Process process, String name) throws Exception {
        ProgramProcess.exitCode(
                new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start());
    }

    /** The next line that contains {@code part}, or null at the end of the output. */
    static String lineWith(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        return line;
    }
}
