package cresschute.cli;

import cresschute.capacity.CapacityPage;
import cresschute.capacity.CapacityTables;
import cresschute.capacity.CsvFormatException;
import cresschute.capacity.FaultFile;
import cresschute.capacity.FaultMeasurement;
import cresschute.capacity.MarkerException;
import cresschute.capacity.Measurement;
import cresschute.capacity.MeasurementFile;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Writes the tables of the capacity page from the measurements that are kept, or checks them. */
@Command(
        name = "capacity-page",
        mixinStandardHelpOptions = true,
        description =
                "Computes the tables of the capacity page from the measurements in a folder and"
                        + " writes them into the page; other text of the page stays.",
        footer = {
            "",
            "Example: cresschute lab capacity-page --check",
            "",
            "Exit codes: 0 done, 1 the page says something else (--check), 2 a file cannot be used."
        })
final class CapacityPageCommand implements Callable<Integer> {

    @Option(
            names = "--measurements",
            paramLabel = "FOLDER",
            defaultValue = "docs/results/capacity",
            description = "the folder with the CSV files (default: ${DEFAULT-VALUE})")
    private Path folder;

    @Option(
            names = "--page",
            paramLabel = "FILE",
            defaultValue = "docs/CAPACITY.md",
            description = "the page (default: ${DEFAULT-VALUE})")
    private Path page;

    @Option(
            names = "--check",
            description = "change nothing; end with 1 if the page says something else")
    private boolean check;

    @Spec private CommandSpec spec;

    private final List<Measurement> measurements = new ArrayList<>();
    private final List<FaultMeasurement> faultMeasurements = new ArrayList<>();

    @Override
    public Integer call() throws IOException {
        final PrintWriter err = spec.commandLine().getErr();
        final String current;
        final String updated;
        try {
            current = read(page);
            readMeasurements();
            updated =
                    CapacityPage.write(current, CapacityTables.of(measurements, faultMeasurements));
        } catch (CsvFormatException e) {
            err.println("cresschute: " + e.getMessage());
            return ExitCodes.UNUSABLE;
        } catch (MarkerException e) {
            err.println("cresschute: " + page + ": " + e.getMessage());
            return ExitCodes.UNUSABLE;
        } catch (NoSuchFileException e) {
            err.println("cresschute: " + e.getFile() + ": no such file");
            return ExitCodes.UNUSABLE;
        }
        return check ? compare(current, updated) : write(updated);
    }

    private void readMeasurements() throws IOException, CsvFormatException {
        if (!Files.isDirectory(folder)) {
            return;
        }
        final List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> found = Files.newDirectoryStream(folder, "*.csv")) {
            found.forEach(files::add);
        }
        files.sort(null);
        for (final Path file : files) {
            final String text = read(file);
            if (FaultFile.isFaultFile(text)) {
                faultMeasurements.addAll(FaultFile.parse(file.toString(), text));
            } else {
                measurements.addAll(MeasurementFile.parse(file.toString(), text));
            }
        }
    }

    private int write(String updated) throws IOException {
        Files.writeString(page, updated, StandardCharsets.UTF_8);
        spec.commandLine()
                .getOut()
                .println(
                        page
                                + ": written from "
                                + measurements.size()
                                + " measurements and "
                                + faultMeasurements.size()
                                + " of faults");
        return ExitCodes.DONE;
    }

    private int compare(String current, String updated) {
        if (current.equals(updated)) {
            return ExitCodes.DONE;
        }
        final List<String> currentLines = current.lines().toList();
        final List<String> updatedLines = updated.lines().toList();
        int line = 0;
        while (line < currentLines.size()
                && line < updatedLines.size()
                && currentLines.get(line).equals(updatedLines.get(line))) {
            line++;
        }
        spec.commandLine()
                .getErr()
                .println(
                        "cresschute: "
                                + page
                                + ":"
                                + (line + 1)
                                + ": the page says something else than the measurements");
        return ExitCodes.FAILED;
    }

    private static String read(Path file) throws IOException {
        return Files.readString(file, StandardCharsets.UTF_8);
    }
}
