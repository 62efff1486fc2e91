package cresschute;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs the program as a separate process, for tests. A thread reads its standard output and error
 * together, line by line, so that the process never blocks on writing. Every wait here has a time
 * limit.
 */
public final class ProgramProcess implements AutoCloseable {

    /** Longest wait for a line or for the end of a process, s. */
    public static final long MAX_WAIT_S = 25;

    /** Marks the end of the output in the queue; no program writes this line. */
    private static final String END = "\0";

    private final Process process;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    private ProgramProcess(Process process) {
        this.process = process;
        final Thread reader = new Thread(this::read, "program-output");
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a process whose output is read here. */
    public static ProgramProcess start(ProcessBuilder builder) throws IOException {
        return new ProgramProcess(builder.redirectErrorStream(true).start());
    }

    /**
     * The command line of the program with the test's class path. It restores the default action of
     * SIGHUP and SIGINT, because children of {@code nohup} and of a shell's background jobs inherit
     * ignored signals, and a JVM does not handle a signal that was ignored at its start.
     */
    public static List<String> command(List<String> options, String... arguments) {
        return withDefaultSignals(java(options, System.getProperty("java.class.path"), arguments));
    }

    /** The same, but the class path has only the libraries that the platform's node has. */
    public static List<String> platformCommand(List<String> options, String... arguments) {
        final String needed =
                Arrays.stream(System.getProperty("java.class.path").split(":"))
                        .filter(
                                each ->
                                        each.endsWith("/target/classes")
                                                || each.matches(".*/(netty|gson)[^/]*\\.jar"))
                        .collect(Collectors.joining(":"));
        return withDefaultSignals(java(options, needed, arguments));
    }

    /** All flags of the deploy file's run line that limit memory. */
    public static List<String> deployedMemoryFlags() throws IOException {
        final String run =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        final List<String> flags =
                Arrays.stream(run.split(" "))
                        .filter(
                                word ->
                                        word.matches(
                                                "-X.*(SerialGC|TieredStopAtLevel=1|[0-9][mk])"
                                                        + "|-Dio\\.netty\\.allocator.*"))
                        .toList();
        assertThat(flags).anyMatch(flag -> flag.startsWith("-Xmx"));
        return flags;
    }

    /** The command line of the program without a change of the inherited signal actions. */
    public static List<String> commandInheritingSignals(String... arguments) {
        return java(List.of(), System.getProperty("java.class.path"), arguments);
    }

    private static List<String> withDefaultSignals(List<String> java) {
        final List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP,INT"));
        command.addAll(java);
        return command;
    }

    private static List<String> java(List<String> options, String classPath, String[] arguments) {
        final List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(options);
        command.addAll(
                List.of(
                        "-Djava.util.logging.manager=cresschute.node.StayingLogManager",
                        "-cp",
                        classPath,
                        "cresschute.cli.Main"));
        command.addAll(List.of(arguments));
        return command;
    }

    private void read() {
        try (BufferedReader out = process.inputReader()) {
            out.lines().forEach(lines::add);
        } catch (IOException | UncheckedIOException e) {
            // The test has killed the process.
        }
        lines.add(END);
    }

    /**
     * Waits for the next line that contains {@code part}; fails if the output ends first or after
     * {@link #MAX_WAIT_S}.
     */
    public String awaitLine(String part) throws InterruptedException {
        final List<String> seen = new ArrayList<>();
        final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        String line = lines.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        while (line != null && !line.equals(END) && !line.contains(part)) {
            seen.add(line);
            line = lines.poll(untilNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
        assertThat(line)
                .as("a line with '" + part + "' after " + seen)
                .isNotNull()
                .isNotEqualTo(END);
        return line;
    }

    /** Waits for the end of the output and returns all unread lines. */
    public List<String> remainingLines() throws InterruptedException {
        final List<String> seen = new ArrayList<>();
        final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        String line = lines.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        while (line != null && !line.equals(END)) {
            seen.add(line);
            line = lines.poll(untilNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
        assertThat(line).as("the end of the output after " + seen).isEqualTo(END);
        return seen;
    }

    /** Returns the unread lines received so far, without waiting. */
    public List<String> linesSoFar() {
        final List<String> seen = new ArrayList<>();
        lines.drainTo(seen);
        return seen;
    }

    /** Returns the port of a line that ends with a socket address. */
    public static int portIn(String line) {
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    /** Waits for the end of the process and returns its exit code. */
    public int exitCode() throws InterruptedException {
        return exitCode(process);
    }

    /** Waits for the end of any process that a test started and returns its exit code. */
    public static int exitCode(Process process) throws InterruptedException {
        assertThat(process.waitFor(MAX_WAIT_S, TimeUnit.SECONDS))
                .as("the process has ended")
                .isTrue();
        return process.exitValue();
    }

    /** Sends a signal by its short name, such as {@code TERM}. */
    public void signal(String name) throws IOException, InterruptedException {
        assertThat(
                        exitCode(
                                new ProcessBuilder(
                                                "sh", "-c", "kill -" + name + " " + process.pid())
                                        .start()))
                .as("kill -" + name)
                .isZero();
    }

    /** The number of descriptors that the process has open. */
    public int openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return (int) open.count();
        }
    }

    /** The process's soft limit of open descriptors. */
    public int descriptorLimit() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/limits")).stream()
                .filter(line -> line.startsWith("Max open files"))
                .mapToInt(line -> Integer.parseInt(line.split(" +")[3]))
                .findFirst()
                .orElseThrow();
    }

    /** The process itself. */
    public Process process() {
        return process;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
