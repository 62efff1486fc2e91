package cresschute.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The program as a process, for tests. */
final class Programs {

    private Programs() {}

    private static final long MOST_S = 40;

    /**
     * A command of the program. Interrupts are heard whatever the test runs under: a shell's background
     * jobs have them ignored.
     */
    static ProcessBuilder program(String... args) {
        final List<String> command = new ArrayList<>(List.of("env", "--default-signal=INT",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-ea",
            "-cp", System.getProperty("java.class.path"), "cresschute.cli.Main"));
        command.addAll(List.of(args));
        return new ProcessBuilder(command);
    }

    /**
     * Starts it. Guards the build against a process that does not end: a blocked read heeds no time
     * limit.
     */
    static Process start(ProcessBuilder builder) throws IOException {
        final Process process = builder.start();
        CompletableFuture.delayedExecutor(MOST_S, TimeUnit.SECONDS).execute(process::destroyForcibly);
        return process;
    }

    /** Sends a signal by its name. */
    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
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
