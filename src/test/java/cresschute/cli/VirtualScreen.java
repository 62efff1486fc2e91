package cresschute.cli;

import cresschute.ProgramProcess;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;
import org.jline.builtins.ScreenTerminal;

/** A program on a pseudo-terminal of the system's own, and what a person would see of it. */
final class VirtualScreen implements AutoCloseable {

    private static final long MAX_WAIT_S = 30;
    private static final int CHARACTER_MASK = 0x1FFFFF;

    private final Process process;
    private final ScreenTerminal terminal;
    private int columns;
    private int rows;

    /** Runs a command line on a terminal of this size; {@code script} is on every Debian. */
    VirtualScreen(int columns, int rows, Map<String, String> environment, List<String> command)
            throws IOException {
        this.columns = columns;
        this.rows = rows;
        terminal = new ScreenTerminal(columns, rows);
        final String quotedCommand =
                String.join(" ", command.stream().map(each -> "'" + each + "'").toList());
        final ProcessBuilder builder =
                new ProcessBuilder(
                        "script",
                        "-qfec",
                        "stty rows " + rows + " cols " + columns + "; exec " + quotedCommand,
                        "/dev/null");
        builder.environment().putAll(Map.of("TERM", "xterm-256color", "LC_ALL", "C.UTF-8"));
        builder.environment().remove("COLUMNS");
        builder.environment().putAll(environment);
        process = builder.start();
        final Thread reader = new Thread(this::read, "screen");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (Reader in = new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)) {
            final char[] buffer = new char[4096];
            int count = in.read(buffer);
            while (count >= 0) {
                synchronized (this) {
                    terminal.write(new String(buffer, 0, count));
                }
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // The program has ended, or the test ends it.
        }
    }

    /** The lines as they are seen now, without blanks at their ends. */
    synchronized List<String> lines() {
        final long[] cells = new long[columns * rows];
        terminal.dump(cells, 0, 0, rows, columns, new int[2]);
        final List<String> lines = new ArrayList<>();
        for (int row = 0; row < rows; row++) {
            final StringBuilder line = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                final int character = (int) (cells[row * columns + column] & CHARACTER_MASK);
                line.appendCodePoint(character == 0 ? ' ' : character);
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }

    String text() {
        return String.join("\n", lines());
    }

    /** Waits until the screen looks so. */
    void await(String description, Predicate<String> condition) {
        try {
            Awaitility.await()
                    .atMost(Duration.ofSeconds(MAX_WAIT_S))
                    .until(() -> condition.test(text()));
        } catch (ConditionTimeoutException e) {
            throw new AssertionError("the screen never showed " + description + ":\n" + text(), e);
        }
    }

    void await(String part) {
        await("'" + part + "'", text -> text.contains(part));
    }

    void type(String keys) throws IOException {
        process.getOutputStream().write(keys.getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
    }

    /** Another size; the program hears of it as of a window that is dragged. */
    void resize(int newColumns, int newRows) throws IOException, InterruptedException {
        final ProcessHandle program =
                process.descendants()
                        .filter(each -> each.info().command().orElse("").endsWith("/java"))
                        .findFirst()
                        .orElseThrow();
        final Path device = Files.readSymbolicLink(Path.of("/proc/" + program.pid() + "/fd/0"));
        synchronized (this) {
            columns = newColumns;
            rows = newRows;
            terminal.setSize(newColumns, newRows);
        }
        ProgramProcess.exitCode(
                new ProcessBuilder(
                                "stty",
                                "-F",
                                device.toString(),
                                "rows",
                                String.valueOf(newRows),
                                "cols",
                                String.valueOf(newColumns))
                        .start());
    }

    /** The line is cut, as when a connection to the box drops: the program gets a hang-up. */
    void disconnect() throws InterruptedException {
        ProgramProcess.exitCode(process.destroyForcibly());
    }

    int exitCode() throws InterruptedException {
        return ProgramProcess.exitCode(process);
    }

    @Override
    public void close() {
        process.descendants().forEach(ProcessHandle::destroy);
        process.destroyForcibly();
    }
}
