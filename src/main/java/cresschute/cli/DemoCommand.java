package cresschute.cli;

import cresschute.logs.RoutedLoggerFinder;
import cresschute.logs.structured.StructuredLog;
import cresschute.testbed.Durations;
import cresschute.testbed.Fleet;
import cresschute.testbed.FleetReport;
import cresschute.testbed.InjectedFault;
import java.io.PrintWriter;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Shows the node at work between stand-ins, and holds its rules against what these saw. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs workers, a director and clients on loopback ports with a node between them,"
                        + " and prints what became of the jobs and whether the rules were kept.",
        footer = {
            "",
            "Troubles: KIND[:WORKER][xFACTOR]@START[+DURATION], with commas between them.",
            "",
            "Example: cresschute demo --for 20s --trouble slow@5s,silent:w2@8s+4s",
            "",
            "Exit codes: 0 all rules kept, 1 a rule was broken, 2 it could not be used as given, "
                    + "130 interrupted."
        })
final class DemoCommand implements Callable<Integer> {

    private static final long REFRESH_MS = 200;
    private static final int REPORT_INTERVAL_FACTOR = 20;
    private static final long MAX_WAIT_MS = 13_000;
    private static final long MAX_US = 3_600_000_000L;
    private static final int MAX_WORKERS = 1_024;
    private static final double MAX_RATE = 2_000;

    @Option(
            names = "--workers",
            paramLabel = "N",
            defaultValue = "8",
            description = "how many workers, 1 to 1024 (default: ${DEFAULT-VALUE})")
    private int workers;

    @Option(
            names = "--rate",
            paramLabel = "R",
            defaultValue = "12",
            description = "jobs that arrive in a second, up to 2000 (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            defaultValue = "20s",
            description =
                    "how long jobs arrive, such as 500ms, 20s, 2m (default: ${DEFAULT-VALUE})")
    private String duration;

    @Option(
            names = "--seed",
            paramLabel = "S",
            defaultValue = "1",
            description = "for all chance (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--trouble",
            paramLabel = "LIST",
            defaultValue = "",
            description = "what goes wrong, and when; see --list-troubles")
    private String faults;

    @Option(names = "--list-troubles", description = "print the kinds of trouble")
    private boolean listFaults;

    @Option(
            names = "--socket",
            paramLabel = "FILE",
            description = "let consoles connect to the node, at this control socket")
    private Path socket;

    @Option(names = "--json", description = "print one JSON object")
    private boolean json;

    @Option(names = "--verbose", description = "show the node's log")
    private boolean verbose;

    @Spec private CommandSpec spec;

    private FleetReport lastReport;
    private long nextReportNs = System.nanoTime();

    @Override
    public Integer call() throws InterruptedException {
        final PrintWriter out = spec.commandLine().getOut();
        if (listFaults) {
            Arrays.stream(InjectedFault.Kind.values())
                    .forEach(
                            kind ->
                                    out.println(
                                            String.format("%-9s %s", kind.word(), kind.meaning())));
            out.flush();
            return ExitCodes.DONE;
        }
        final OutputTerminal terminal = OutputTerminal.ofProcess();
        final long durationUs = durationUs();
        // Set before anything of the node's is loaded: its log would run through the picture.
        final StructuredLog log = new StructuredLog(false, verbose ? Level.INFO : Level.ERROR);
        RoutedLoggerFinder.setSink(log);
        final CountDownLatch interrupted = new CountDownLatch(1);
        final CountDownLatch reported = new CountDownLatch(1);
        try (Fleet fleet = fleet()) {
            final Thread hook =
                    new Thread(
                            () -> {
                                // After Ctrl-C, the report on what was seen so far is still
                                // printed.
                                interrupted.countDown();
                                try {
                                    reported.await();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "demo-interrupted");
            Runtime.getRuntime().addShutdownHook(hook);
            fleet.start();
            final boolean complete = watch(fleet, durationUs, terminal, interrupted);
            final FleetReport report = finish(fleet, terminal, complete);
            reported.countDown();
            removeShutdownHook(hook);
            return report.isSound() ? ExitCodes.DONE : ExitCodes.FAILED;
        } finally {
            reported.countDown();
            log.close();
        }
    }

    private static void removeShutdownHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The process is on its way out already: the hook runs, and ends now.
        }
    }

    private long durationUs() {
        try {
            final long us = Durations.parseUs(duration);
            if (us <= 0 || us > MAX_US) {
                throw usageError("--for: '" + duration + "' is out of range; allowed: up to 60m");
            }
            return us;
        } catch (IllegalArgumentException e) {
            throw usageError("--for: " + e.getMessage());
        }
    }

    private Fleet fleet() {
        if (workers < 1 || workers > MAX_WORKERS) {
            throw usageError(
                    "--workers: " + workers + " is out of range; allowed: 1 to " + MAX_WORKERS);
        }
        if (!(rate > 0 && rate <= MAX_RATE)) {
            throw usageError(
                    "--rate: "
                            + rate
                            + " is out of range; allowed: above 0, up to "
                            + (int) MAX_RATE);
        }
        try {
            return new Fleet(
                    new Fleet.Plan(
                            workers,
                            rate,
                            seed,
                            InjectedFault.parse(faults),
                            socket == null ? null : socket.toAbsolutePath().toString(),
                            null));
        } catch (IllegalArgumentException e) {
            throw usageError("--trouble: " + e.getMessage());
        }
    }

    private ParameterException usageError(String reason) {
        return new ParameterException(spec.commandLine(), reason);
    }

    /** Watches it until all is answered; false where it was interrupted before. */
    private boolean watch(
            Fleet fleet, long durationUs, OutputTerminal terminal, CountDownLatch interrupted)
            throws InterruptedException {
        final long startNs = System.nanoTime();
        boolean submitting = true;
        while (true) {
            if (interrupted.await(REFRESH_MS, TimeUnit.MILLISECONDS)) {
                return false;
            }
            final long elapsedUs = (System.nanoTime() - startNs) / 1000;
            if (submitting && elapsedUs >= durationUs) {
                submitting = false;
                fleet.stopArriving();
            }
            final int waiting = fleet.waiting();
            if (!submitting && (waiting == 0 || elapsedUs > durationUs + MAX_WAIT_MS * 1000)) {
                return true;
            }
            printProgress(fleet, terminal, elapsedUs, durationUs, waiting);
        }
    }

    private void printProgress(
            Fleet fleet, OutputTerminal terminal, long elapsedUs, long durationUs, int waiting) {
        if (!terminal.isTerminal() || json) {
            return;
        }
        // A report takes longer the longer the run is; it may take a twentieth of the time.
        final long nowNs = System.nanoTime();
        if (nowNs >= nextReportNs) {
            lastReport = fleet.report();
            nextReportNs = nowNs + REPORT_INTERVAL_FACTOR * (System.nanoTime() - nowNs);
        }
        final FleetReport report = lastReport;
        final String line =
                String.format(
                        "%3ds of %ds  %s",
                        elapsedUs / 1_000_000,
                        durationUs / 1_000_000,
                        report.outcomes().asked()
                                + " asked, "
                                + waiting
                                + " waiting, "
                                + (report.isSound() ? "rules kept" : "A RULE IS BROKEN"));
        final PrintWriter err = spec.commandLine().getErr();
        // One column is left free: in the last one a terminal would begin a new line.
        err.print(
                "\r"
                        + (line.length() < terminal.columns()
                                ? line + " ".repeat(terminal.columns() - 1 - line.length())
                                : line.substring(0, terminal.columns() - 1)));
        err.flush();
    }

    private FleetReport finish(Fleet fleet, OutputTerminal terminal, boolean complete) {
        fleet.stop();
        final FleetReport report = fleet.report();
        final PrintWriter out = spec.commandLine().getOut();
        if (terminal.isTerminal() && !json) {
            spec.commandLine().getErr().print("\r" + " ".repeat(terminal.columns() - 1) + "\r");
            spec.commandLine().getErr().flush();
        }
        if (json) {
            out.println(report.json());
        } else {
            final List<String> lines = report.table(terminal.columns());
            out.println(
                    (complete ? "" : "interrupted; so far:\n")
                            + lines.stream()
                                    .map(line -> colored(line, terminal))
                                    .collect(Collectors.joining("\n")));
        }
        out.flush();
        return report;
    }

    private static String colored(String line, OutputTerminal terminal) {
        return !terminal.hasColor()
                ? line
                : line.replace("BROKEN", "\u001b[31mBROKEN\u001b[0m")
                        .replaceFirst(" kept$", " \u001b[32mkept\u001b[0m");
    }
}
