package cresschute.cli;

import com.google.gson.JsonObject;
import cresschute.cli.ControlClient.RequestFailedException;
import cresschute.console.ControlLink;
import cresschute.console.ScreenBenchmark;
import cresschute.logs.RoutedLoggerFinder;
import cresschute.logs.structured.StructuredLog;
import cresschute.testbed.Fleet;
import cresschute.testbed.FleetReport;
import cresschute.testbed.LargeFleet;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Measures the console's parts on loopback and prints tables in Markdown, as the docs keep them.
 */
@Command(
        name = "trial",
        mixinStandardHelpOptions = true,
        description = "Measures what drains and consoles cost, on loopback, and prints tables.",
        footer = {
            "",
            "Trials: drains (how soon new work stops), consoles (the node's CPU with 0, 1 and 8 of"
                + " them), screen (drawing 1,000 workers), reqs (very many small ones), lists (what"
                + " a node needs with 14, 200 and 1,024 workers).",
            "",
            "Example: cresschute trial drains --count 200"
        })
final class TrialCommand implements Callable<Integer> {

    /** What may be measured; each constant is the word of the command line. */
    enum Trial {
        drains,
        consoles,
        screen,
        reqs,
        lists
    }

    private static final double RATE = 25;
    static final int WORKERS = 8;
    private static final long SETTLE_MS = 500;
    private static final int LARGE_SITE_WORKERS = 1_000;
    private static final int CHANGES_PER_SECOND = 200;

    @Parameters(paramLabel = "TRIAL", description = "${COMPLETION-CANDIDATES}")
    private Trial trial;

    @Option(
            names = "--count",
            paramLabel = "N",
            defaultValue = "200",
            description = "how many drains, or drawings (default: ${DEFAULT-VALUE})")
    private int count;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "6",
            description =
                    "how long each number of consoles is measured (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "5",
            description = "how often, in turn (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(
            names = "--seed",
            paramLabel = "S",
            defaultValue = "1",
            description = "for all chance (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--rate",
            paramLabel = "R",
            defaultValue = "10000",
            description = "small reqs in a second (default: ${DEFAULT-VALUE})")
    private int rate;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, RequestFailedException {
        // Set before anything of the node's is loaded: its log would run through the tables.
        final StructuredLog log = new StructuredLog(false, Level.ERROR);
        RoutedLoggerFinder.setSink(log);
        final PrintWriter out = spec.commandLine().getOut();
        final Path folder = Files.createTempDirectory("cresschute-trial");
        try {
            return switch (trial) {
                case drains -> drains(out, folder);
                case consoles -> consoles(out, folder);
                case screen -> screen(out);
                case reqs -> requestCosts(out, folder).requests();
                case lists -> requestCosts(out, folder).endpointLists();
            };
        } finally {
            log.close();
            out.flush();
        }
    }

    private RequestCostTrial requestCosts(PrintWriter out, Path folder) {
        return new RequestCostTrial(out, folder, rate, seconds, rounds);
    }

    // ---- How soon new work stops ----

    private int drains(PrintWriter out, Path folder)
            throws RequestFailedException, InterruptedException {
        final Path socket = folder.resolve("s");
        final Histogram confirmationTimes = new Histogram(3);
        final Histogram lastSendTimes = new Histogram(3);
        final SendRates ratesWhileAnotherIsDrained = new SendRates();
        final SendRates ratesWithoutDrains = new SendRates();
        int drainsWithLaterSends = 0;
        final FleetReport report;
        try (Fleet fleet =
                new Fleet(
                        new Fleet.Plan(
                                WORKERS,
                                RATE,
                                seed,
                                List.of(),
                                socket.toString(),
                                folder.resolve("state").toString()))) {
            fleet.start();
            Thread.sleep(4 * SETTLE_MS);
            try (ControlClient client = new ControlClient(socket)) {
                for (int i = 0; i < count; i++) {
                    final String worker = "w" + (i % WORKERS + 1);
                    final long requestedUs = fleet.nowUs();
                    operate(client, "drain", i, worker);
                    final long doneUs = fleet.nowUs();
                    fleet.drainedAt(worker, doneUs);
                    Thread.sleep(SETTLE_MS);
                    final long lastUs = Math.max(0, fleet.lastSendUs(worker) - requestedUs);
                    confirmationTimes.recordValue(doneUs - requestedUs);
                    lastSendTimes.recordValue(lastUs);
                    drainsWithLaterSends += lastUs > 0 ? 1 : 0;
                    ratesWhileAnotherIsDrained.add(fleet, worker, doneUs);
                    fleet.undrained(worker);
                    operate(client, "undrain", i, worker);
                    final long undoneUs = fleet.nowUs();
                    Thread.sleep(SETTLE_MS);
                    ratesWithoutDrains.add(fleet, null, undoneUs);
                }
            }
            fleet.stop();
            report = fleet.report();
        }
        out.println("| of " + count + " drains, ms | p50 | p99 | max |\n| --- | --- | --- | --- |");
        out.println(
                "| until the node had kept and confirmed it | "
                        + percentiles(confirmationTimes)
                        + " |");
        out.println(
                "| until the first byte of the last new work at the worker | "
                        + percentiles(lastSendTimes)
                        + " |");
        out.println(
                "\nDrains after which any new work came: "
                        + drainsWithLaterSends
                        + ". Reqs: "
                        + report.outcomes().asked()
                        + ", worth kept "
                        + String.format(
                                Locale.ROOT, "%.3f", report.outcomes().weightedServedFraction())
                        + ", rules broken: "
                        + report.breaches().size()
                        + ", invariants broken: "
                        + report.invariantBreaches()
                        + ".");
        out.println(
                "\n"
                        + "| worker | sends a second while none is drained | while another one is |"
                        + " ratio |\n"
                        + "| --- | --- | --- | --- |");
        for (int i = 1; i <= WORKERS; i++) {
            final double rateWithoutDrains = ratesWithoutDrains.perSecond("w" + i);
            final double rateWhileDrained = ratesWhileAnotherIsDrained.perSecond("w" + i);
            out.println(
                    String.format(
                            Locale.ROOT,
                            "| w%d | %.2f | %.2f | %.2f |",
                            i,
                            rateWithoutDrains,
                            rateWhileDrained,
                            rateWhileDrained / rateWithoutDrains));
        }
        report.breaches().forEach(each -> out.println("- " + each.what()));
        return report.isSound() ? ExitCodes.DONE : ExitCodes.FAILED;
    }

    /**
     * What workers were sent over many spans of time, each of which leaves out one worker at the
     * most.
     */
    private static final class SendRates {
        private final Map<String, Long> sends = new HashMap<>();
        private final Map<String, Long> us = new HashMap<>();

        void add(Fleet fleet, String drained, long fromUs) {
            final long toUs = fleet.nowUs();
            final Map<String, Long> sent = fleet.sends(fromUs, toUs);
            for (int i = 1; i <= WORKERS; i++) {
                final String worker = "w" + i;
                if (!worker.equals(drained)) {
                    sends.merge(worker, sent.getOrDefault(worker, 0L), Long::sum);
                    us.merge(worker, toUs - fromUs, Long::sum);
                }
            }
        }

        double perSecond(String worker) {
            return sends.get(worker) * 1e6 / us.get(worker);
        }
    }

    private static void operate(ControlClient client, String operation, int number, String worker)
            throws RequestFailedException, InterruptedException {
        final JsonObject answer =
                client.request(
                        ControlLink.request(
                                operation + number,
                                operation,
                                Map.of(
                                        "op",
                                        operation + "-" + number,
                                        "worker",
                                        worker,
                                        "who",
                                        "trial",
                                        "force",
                                        true)));
        if (!answer.get("outcome").getAsString().equals("done")) {
            throw new IllegalStateException("a " + operation + " was not done: " + answer);
        }
    }

    private static String percentiles(Histogram us) {
        return String.format(
                Locale.ROOT,
                "%.1f | %.1f | %.1f",
                us.getValueAtPercentile(50) / 1e3,
                us.getValueAtPercentile(99) / 1e3,
                us.getMaxValue() / 1e3);
    }

    // ---- What consoles cost ----

    @FunctionalInterface
    private interface CpuClock {
        long ns();
    }

    private int consoles(PrintWriter out, Path folder)
            throws RequestFailedException, InterruptedException {
        out.println(
                "| site | consoles | node's CPU, per cent of a core: median (least to most) | heap"
                        + " after a collection, MB: median |\n"
                        + "| --- | --- | --- | --- |");
        final Path fleetSocket = folder.resolve("fleet");
        try (Fleet fleet =
                new Fleet(
                        new Fleet.Plan(
                                WORKERS, RATE, seed, List.of(), fleetSocket.toString(), null))) {
            fleet.start();
            consoles(
                    out,
                    "8 workers, " + (int) RATE + " jobs a second",
                    fleetSocket,
                    fleet::nodeCpuNs);
        }
        final Path largeSiteSocket = folder.resolve("wide");
        try (LargeFleet site = new LargeFleet(LARGE_SITE_WORKERS, seed, largeSiteSocket)) {
            site.churn(CHANGES_PER_SECOND);
            consoles(
                    out,
                    LARGE_SITE_WORKERS + " workers, " + CHANGES_PER_SECOND + " changes a second",
                    largeSiteSocket,
                    site::nodeCpuNs);
        }
        return ExitCodes.DONE;
    }

    private void consoles(PrintWriter out, String site, Path socket, CpuClock cpu)
            throws RequestFailedException, InterruptedException {
        final int[] consoleCounts = {0, 1, 8};
        final List<List<Double>> cpuPercents =
                List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        final List<List<Double>> heaps =
                List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        // In turn, so that the program's warming falls on all of them; the first round is for that
        // alone.
        for (int round = 0; round <= rounds; round++) {
            for (int index = 0; index < consoleCounts.length; index++) {
                final List<ControlLink> links = new ArrayList<>();
                try {
                    for (int i = 0; i < consoleCounts[index]; i++) {
                        links.add(openConsole(socket));
                    }
                    Thread.sleep(SETTLE_MS);
                    final long beforeNs = cpu.ns();
                    final long startNs = System.nanoTime();
                    Thread.sleep(seconds * 1_000L);
                    final double cpuPercent =
                            100.0 * (cpu.ns() - beforeNs) / (System.nanoTime() - startNs);
                    if (round > 0) {
                        cpuPercents.get(index).add(cpuPercent);
                        heaps.get(index).add(heapMb());
                    }
                } finally {
                    links.forEach(ControlLink::close);
                }
            }
        }
        for (int index = 0; index < consoleCounts.length; index++) {
            final List<Double> sorted = cpuPercents.get(index).stream().sorted().toList();
            out.println(
                    String.format(
                            Locale.ROOT,
                            "| %s | %d | %.2f (%.2f to %.2f) | %.1f |",
                            site,
                            consoleCounts[index],
                            median(sorted),
                            sorted.get(0),
                            sorted.get(sorted.size() - 1),
                            median(heaps.get(index).stream().sorted().toList())));
        }
        out.flush();
    }

    private static ControlLink openConsole(Path socket) throws RequestFailedException {
        try {
            final ControlLink link = ControlLink.open(socket, line -> {}, why -> {});
            link.send(ControlLink.request("1", "subscribe"));
            link.send(ControlLink.request("2", "events"));
            return link;
        } catch (IOException e) {
            throw new RequestFailedException(e.getMessage(), false);
        }
    }

    static double median(List<Double> sorted) {
        return sorted.get(sorted.size() / 2);
    }

    private static double heapMb() {
        System.gc();
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1e6;
    }

    // ---- What a screen costs ----

    private int screen(PrintWriter out) {
        ScreenBenchmark.measure(LARGE_SITE_WORKERS, CHANGES_PER_SECOND, count);
        out.println(
                "| workers, of which changed | ms to take the news in and draw 120x50: p50 | p99 |"
                        + " max |\n"
                        + "| --- | --- | --- | --- |");
        for (final int changed :
                new int[] {0, CHANGES_PER_SECOND / 10, CHANGES_PER_SECOND, LARGE_SITE_WORKERS}) {
            final Histogram ns = ScreenBenchmark.measure(LARGE_SITE_WORKERS, changed, count);
            out.println(
                    String.format(
                            Locale.ROOT,
                            "| %d, %d | %.2f | %.2f | %.2f |",
                            LARGE_SITE_WORKERS,
                            changed,
                            ns.getValueAtPercentile(50) / 1e6,
                            ns.getValueAtPercentile(99) / 1e6,
                            ns.getMaxValue() / 1e6));
        }
        return ExitCodes.DONE;
    }
}
