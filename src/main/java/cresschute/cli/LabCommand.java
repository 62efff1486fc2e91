package cresschute.cli;

import cresschute.testbed.bodies.BodiesTrial;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Experiments of the lab, whose results are tables and charts. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        subcommands = {
            LabCommand.Bodies.class,
            CapacityCommand.class,
            CapacityPageCommand.class,
            CapacityModelCommand.class
        },
        description =
                "Plays experiments on loopback and writes their results as tables and charts.")
final class LabCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "no experiment is given");
    }

    /** Long bodies and results. */
    @Command(
            name = "bodies",
            mixinStandardHelpOptions = true,
            description =
                    "Passes long bodies and results through a node of its own, at unlike speeds and"
                            + " beside small reqs; prints tables and draws the node's memory. Every"
                            + " byte is checked.",
            footer = {"", "Example: cresschute lab bodies --megabytes 300 --chart memory.png"})
    static final class Bodies implements Callable<Integer> {

        @Option(
                names = "--megabytes",
                paramLabel = "N",
                defaultValue = "300",
                description = "millions of bytes of each body (default: ${DEFAULT-VALUE})")
        private int megabytes;

        @Option(
                names = "--rounds",
                paramLabel = "N",
                defaultValue = "3",
                description = "rounds of each case (default: ${DEFAULT-VALUE})")
        private int rounds;

        @Option(
                names = "--slow",
                paramLabel = "N",
                defaultValue = "200",
                description =
                        "slow bodies that are open beside small reqs (default: ${DEFAULT-VALUE})")
        private int slow;

        @Option(
                names = "--seconds",
                paramLabel = "S",
                defaultValue = "10",
                description = "how long slow cases go on (default: ${DEFAULT-VALUE})")
        private int seconds;

        @Option(
                names = "--chart",
                paramLabel = "FILE",
                defaultValue = "bodies.png",
                description = "where the chart goes (default: ${DEFAULT-VALUE})")
        private Path chart;

        @Spec private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (megabytes < 1 || rounds < 1 || slow < 1 || seconds < 1) {
                throw new ParameterException(spec.commandLine(), "all numbers must be at least 1");
            }
            System.setProperty("java.awt.headless", "true");
            final PrintWriter out = spec.commandLine().getOut();
            final Path folder = Files.createTempDirectory("cresschute-lab");
            try {
                final List<String> failures =
                        new BodiesTrial(
                                        new BodiesTrial.Size(
                                                megabytes * 1_000_000L, rounds, slow, seconds),
                                        out)
                                .run(folder, chart);
                out.println(
                        "\n"
                                + (failures.isEmpty()
                                        ? "Every byte and every answer was as it should be."
                                        : "WRONG: " + String.join("; ", failures)));
                out.flush();
                return failures.isEmpty() ? ExitCodes.DONE : ExitCodes.FAILED;
            } finally {
                Files.deleteIfExists(folder.resolve("bodies.star"));
                Files.deleteIfExists(folder);
            }
        }
    }
}
