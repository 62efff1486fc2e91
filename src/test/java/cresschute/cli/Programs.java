package cresschute.cli;

import cresschute.ProgramProcess;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The program as a process, for tests. */
final class Programs {

    /** The longest that a program may take, s. */
    private static final long MAX_RUN_S = 40;

    private Programs() {}

    /** A command of the program, with assertions on. */
    static ProcessBuilder program(String... args) {
        return new ProcessBuilder(ProgramProcess.command(List.of("-ea"), args));
    }

    /** Starts it, and ends it in time: a blocked read of its output heeds no time limit. */
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

    /** The next line with this in it, or null at the end. */
    static String lineWith(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        return line;
    }
}
