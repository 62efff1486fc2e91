package cresschute.cli;

import cresschute.testbed.capacity.CapacityExperiment;
import cresschute.testbed.capacity.CapacityPlan;
import cresschute.testbed.capacity.CapacityResult;
import cresschute.testbed.capacity.CostChart;
import cresschute.testbed.capacity.MachineLimitException;
import cresschute.testbed.capacity.MeasurementWriter;
import cresschute.testbed.capacity.Sweep;
import cresschute.testbed.capacity.UnusablePlanException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures the resources that dispatchers use at given fleet sizes. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Runs dispatcher processes between stub workers, stub clients and stub discovery,"
                        + " at a size that is given, and prints what each of them uses.",
        footer = {
            "",
            "Example: cresschute lab capacity --quick --json",
            "",
            "Exit codes: 0 measured whole and all rules kept, 1 partial, a rule broken, a request"
                    + " unanswered or a limit of the machine in the way, 2 the arguments cannot"
                    + " be used, 130 interrupted."
        })
final class CapacityCommand implements Callable<Integer> {

    private static final int EXIT_INTERRUPTED = 130;
    private static final int MAX_REPETITIONS = 100;
    private static final double ACCELERATORS_PER_WORKER = 1_800 / 1_400.0;
    private static final String UNKNOWN_COMMIT = "unknown";

    @Option(names = "--workers", paramLabel = "N", description = "listed workers (default: 1400)")
    private Integer workers;

    @Option(
            names = "--accelerators",
            paramLabel = "N",
            description = "accelerators among them (default: 1800 for 1400 workers)")
    private Integer accelerators;

    @Option(
            names = "--running",
            paramLabel = "N",
            description = "jobs that run at a time (default: 9100)")
    private Integer running;

    @Option(names = "--starts", paramLabel = "R", description = "requests a second (default: 300)")
    private Double starts;

    @Option(
            names = "--tenants",
            paramLabel = "N",
            description = "customers with quotas (default: 54)")
    private Integer tenants;

    @Option(
            names = "--dispatchers",
            paramLabel = "N",
            description = "dispatcher processes (default: 7)")
    private Integer dispatchers;

    @Option(
            names = "--zones",
            paramLabel = "N",
            defaultValue = "7",
            description = "zones, each in one region (default: ${DEFAULT-VALUE})")
    private int zones;

    @Option(
            names = "--regions",
            paramLabel = "N",
            defaultValue = "2",
            description = "regions (default: ${DEFAULT-VALUE})")
    private int regions;

    @Option(
            names = "--gang",
            paramLabel = "N",
            description =
                    "requests of one tenant in one instant, at the most; 0: no gangs (default:"
                            + " 128)")
    private Integer gang;

    @Option(
            names = "--changes-a-day",
            paramLabel = "R",
            defaultValue = "1500",
            description =
                    "changes of the settings, each read again on SIGHUP (default:"
                            + " ${DEFAULT-VALUE})")
    private double changesADay;

    @Option(
            names = "--list-changes",
            paramLabel = "R",
            defaultValue = "0.5",
            description = "changes of the workers' list a second (default: ${DEFAULT-VALUE})")
    private double listChanges;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            description = "how long is measured, after the jobs run (default: 60)")
    private Double seconds;

    @Option(
            names = "--seed",
            paramLabel = "S",
            defaultValue = "1",
            description = "seed of the random numbers (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--memory-mb",
            paramLabel = "MB",
            defaultValue = "0",
            description =
                    "memory of a dispatcher; 0: the bounds of the platform's run line "
                            + "(default: ${DEFAULT-VALUE})")
    private int memoryMb;

    @Option(
            names = "--sweep",
            paramLabel = "AXIS",
            description =
                    "measure along workers, running, starts, tenants, dispatchers, list-changes, "
                            + "settings-changes or all, and then the whole size once")
    private String sweep;

    @Option(
            names = "--repetitions",
            paramLabel = "N",
            defaultValue = "1",
            description = "how often each size is measured (default: ${DEFAULT-VALUE})")
    private int repetitions;

    @Option(
            names = "--csv",
            paramLabel = "FILE",
            description =
                    "write all measurements to this file, a row for each size, role and measure")
    private Path csv;

    @Option(
            names = "--charts",
            paramLabel = "FOLDER",
            description = "draw what a dispatcher needs against the size, for each axis of a sweep")
    private Path charts;

    @Option(names = "--quick", description = "smaller sizes, where no others are given")
    private boolean quick;

    @Option(names = "--json", description = "print one JSON object for each size instead of tables")
    private boolean json;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        final List<Sweep.Point> points = points();
        final CountDownLatch interrupted = new CountDownLatch(1);
        final CountDownLatch ended = new CountDownLatch(1);
        final Thread hook =
                new Thread(
                        () -> {
                            // Makes the experiment end its child processes and print its
                            // measurements so far.
                            interrupted.countDown();
                            awaitQuietly(ended);
                        },
                        "capacity-interrupted");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            for (final Sweep.Point each : points) {
                CapacityExperiment.check(each.plan());
            }
            return measure(points, interrupted);
        } catch (MachineLimitException e) {
            spec.commandLine().getErr().println("cresschute: " + e.getMessage());
            return ExitCodes.FAILED;
        } finally {
            ended.countDown();
            removeShutdownHook(hook);
        }
    }

    private int measure(List<Sweep.Point> points, CountDownLatch interrupted)
            throws IOException, InterruptedException {
        int code = ExitCodes.DONE;
        try (MeasurementWriter file = csv == null ? null : new MeasurementWriter(csv, commit())) {
            final CostChart chart = new CostChart();
            for (int i = 0; i < points.size() && interrupted.getCount() > 0; i++) {
                if (points.size() > 1) {
                    printProgress(
                            "point "
                                    + (i + 1)
                                    + " of "
                                    + points.size()
                                    + ", along "
                                    + points.get(i).axis());
                }
                final CapacityResult result =
                        new CapacityExperiment(
                                        points.get(i).plan(), this::printProgress, interrupted)
                                .run();
                if (file != null) {
                    file.add(points.get(i), result);
                }
                chart.add(points.get(i), result);
                print(result);
                code = result.isSuccessful() ? code : ExitCodes.FAILED;
            }
            if (charts != null) {
                System.setProperty("java.awt.headless", "true");
                Files.createDirectories(charts);
                chart.draw(charts);
            }
        }
        return interrupted.getCount() == 0 ? EXIT_INTERRUPTED : code;
    }

    /** The commit of the working tree that the program runs from, or {@code unknown}. */
    private static String commit() {
        try {
            final Path classes =
                    Path.of(
                            CapacityCommand.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .getPath());
            final Process git =
                    new ProcessBuilder(
                                    "git",
                                    "-C",
                                    classes.getParent().toString(),
                                    "rev-parse",
                                    "--short=12",
                                    "HEAD")
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            final String out =
                    new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return out.isBlank() ? UNKNOWN_COMMIT : out.strip();
        } catch (IOException e) {
            return UNKNOWN_COMMIT;
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void removeShutdownHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The JVM is already shutting down, and the hook has been released.
        }
    }

    private List<Sweep.Point> points() {
        if (repetitions < 1 || repetitions > MAX_REPETITIONS) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--repetitions: "
                            + repetitions
                            + " is out of range; allowed: 1 to "
                            + MAX_REPETITIONS);
        }
        if (csv != null && csv.getParent() != null && !Files.isDirectory(csv.getParent())) {
            throw new ParameterException(
                    spec.commandLine(), "--csv: there is no folder " + csv.getParent());
        }
        try {
            return sweep == null
                    ? Sweep.single(plan(), repetitions)
                    : Sweep.along(sweep, plan(), repetitions);
        } catch (UnusablePlanException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private CapacityPlan plan() {
        final int count = valueOrDefault(workers, 1_400, 200);
        return new CapacityPlan(
                count,
                accelerators != null
                        ? accelerators
                        : (int) Math.round(count * ACCELERATORS_PER_WORKER),
                valueOrDefault(running, 9_100, 240),
                valueOrDefault(starts, 300.0, 80.0),
                valueOrDefault(tenants, 54, 54),
                valueOrDefault(dispatchers, 7, 2),
                zones,
                regions,
                valueOrDefault(gang, 128, 32),
                changesADay,
                listChanges,
                valueOrDefault(seconds, 60.0, 8.0),
                seed,
                memoryMb);
    }

    private <T> T valueOrDefault(T option, T defaultValue, T quickValue) {
        return option != null ? option : quick ? quickValue : defaultValue;
    }

    private void printProgress(String text) {
        final PrintWriter err = spec.commandLine().getErr();
        err.println(text);
        err.flush();
    }

    private void print(CapacityResult result) {
        final PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(result.json());
        } else {
            result.table().forEach(out::println);
        }
        out.flush();
    }
}
