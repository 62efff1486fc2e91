package cresschute.cli;

import cresschute.testbed.model.CapacityCsv;
import cresschute.testbed.model.FleetCapacity;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures modelled fleets in virtual time and writes rows of the capacity table. */
@Command(
        name = "capacity-model",
        mixinStandardHelpOptions = true,
        description =
                "Runs fleets of up to 1,400 workers and 30 dispatchers in virtual time, with the"
                        + " module and with simple policies for comparison, and writes the"
                        + " measurements. The same seed gives the same measurements.",
        footer = {"", "Example: cresschute lab capacity-model --csv model.csv --seed 1"})
final class CapacityModelCommand implements Callable<Integer> {

    @Option(
            names = "--csv",
            paramLabel = "FILE",
            required = true,
            description = "the file for the table")
    private Path csv;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "seed of the random numbers (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--workers",
            paramLabel = "N",
            defaultValue = "1400",
            description = "largest number of workers in a fleet (default: ${DEFAULT-VALUE})")
    private int workers;

    @Option(
            names = "--commit",
            paramLabel = "ID",
            defaultValue = "unknown",
            description = "the commit that is measured, for the table (default: ${DEFAULT-VALUE})")
    private String commit;

    @Option(
            names = "--date",
            paramLabel = "DATE",
            defaultValue = "unknown",
            description = "the day of the run, for the table (default: ${DEFAULT-VALUE})")
    private String date;

    @Override
    public Integer call() throws IOException {
        try (PrintWriter out =
                new PrintWriter(Files.newBufferedWriter(csv, StandardCharsets.UTF_8))) {
            new CapacityCsv(FleetCapacity::measure, out, commit, date, seed).write(workers);
            return out.checkError() ? ExitCodes.FAILED : ExitCodes.DONE;
        }
    }
}
