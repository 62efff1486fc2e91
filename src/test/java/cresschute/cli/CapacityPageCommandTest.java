package cresschute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.capacity.MeasurementFile;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Checks that the committed capacity page matches the committed measurements, and how the command
 * reports pages and files that differ or cannot be used.
 */
class CapacityPageCommandTest {

    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final String ROW =
            "r1,abc1234,2026-12-02,7,workers,1,false,%d,500,50,10,3,0,0,dispatcher,"
                    + "cpu_percent,%d,false\n";

    @TempDir private Path folder;
    private Path page;

    private record CommandResult(int code, String out, String err) {}

    @BeforeEach
    void copyPage() throws IOException {
        page = Files.copy(PAGE, folder.resolve("page.md"));
    }

    private static CommandResult run(String... args) {
        final StringWriter out = new StringWriter();
        final StringWriter err = new StringWriter();
        final CommandLine line =
                Commands.commandLine()
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(err, true));
        return new CommandResult(line.execute(args), out.toString(), err.toString());
    }

    private CommandResult page(String... options) {
        final String[] args = new String[6 + options.length];
        System.arraycopy(
                new String[] {
                    "lab",
                    "capacity-page",
                    "--page",
                    page.toString(),
                    "--measurements",
                    folder.toString()
                },
                0,
                args,
                0,
                6);
        System.arraycopy(options, 0, args, 6, options.length);
        return run(args);
    }

    private void writeMeasurements(String name, String rows) throws IOException {
        Files.writeString(
                folder.resolve(name),
                MeasurementFile.VERSION_LINE
                        + "\n"
                        + String.join(",", MeasurementFile.COLUMNS)
                        + "\n"
                        + rows);
    }

    @Test
    void committedPageMatchesCommittedMeasurements() {
        assertThat(run("lab", "capacity-page", "--check")).isEqualTo(new CommandResult(0, "", ""));
    }

    @Test
    void newMeasurementsChangeOnlyTheTablesOfThePage() throws IOException {
        writeMeasurements(
                "a.csv",
                String.format(ROW, 100, 2)
                        + String.format(ROW, 200, 3)
                        + String.format(ROW, 400, 5));
        final String before = Files.readString(page);
        final CommandResult checked = page("--check");
        assertThat(checked.code()).isEqualTo(1);
        assertThat(checked.err())
                .matches(
                        "cresschute: .*page\\.md:\\d+: the page differs from the"
                                + " measurements\\R");
        assertThat(Files.readString(page)).isEqualTo(before);
        assertThat(page().code()).isZero();
        assertThat(Files.readString(page))
                .contains("| 15 ± 0 (extrapolated) | 100 (one event loop) | 0.15 |")
                .contains("# Capacity\n");
        assertThat(page("--check").code()).isZero();
    }

    @Test
    void editedTableFailsTheCheck() throws IOException {
        assertThat(page().code()).isZero();
        Files.writeString(
                page, Files.readString(page).replace("| workers | 1,400 |", "| workers | 1,300 |"));
        assertThat(page("--check").code()).isEqualTo(1);
    }

    @Test
    void reportsUnusableFileInOneLine() throws IOException {
        writeMeasurements("a.csv", String.format(ROW, -100, 2));
        final CommandResult result = page();
        assertThat(result.code()).isEqualTo(2);
        assertThat(result.err())
                .isEqualTo(
                        "cresschute: "
                                + folder.resolve("a.csv")
                                + ":3: workers: '-100' is negative"
                                + System.lineSeparator());
        Files.delete(folder.resolve("a.csv"));
        Files.writeString(page, "no markers\n");
        assertThat(page().err()).startsWith("cresschute: " + page + ": no marker for tables: ");
        Files.delete(page);
        assertThat(page())
                .isEqualTo(
                        new CommandResult(
                                2,
                                "",
                                "cresschute: " + page + ": no such file" + System.lineSeparator()));
    }
}
