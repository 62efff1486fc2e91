package cresschute.cli;

import cresschute.testbed.NodeProcess;
import cresschute.testbed.SmallRequests;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures what requests cost a node that runs in a process of its own, with the memory bounds of
 * the platform's command line, and prints tables in Markdown.
 */
final class RequestCostTrial {

    private static final int CLIENTS = 200;
    private static final int[] LIST_LENGTHS = {14, 200, 1_024};

    /** The memory bounds of the platform's command line. */
    private static final List<String> PLATFORM_OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xms24m",
                    "-Xmx64m",
                    "-Xss512k",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=16m",
                    "-XX:MaxDirectMemorySize=16m",
                    "-Dio.netty.allocator.type=pooled");

    private final PrintWriter out;
    private final Path folder;
    private final int rate;
    private final int seconds;
    private final int rounds;

    /**
     * A trial.
     *
     * @param folder for the files of its nodes
     * @param rate requests a second
     * @param seconds length of each round
     * @param rounds rounds that count, after one to warm up
     */
    RequestCostTrial(PrintWriter out, Path folder, int rate, int seconds, int rounds) {
        this.out = out;
        this.folder = folder;
        this.rate = rate;
        this.seconds = seconds;
        this.rounds = rounds;
    }

    /** A node in a process of its own, with the memory bounds of the platform's command line. */
    int requests() throws IOException, InterruptedException {
        final Path script = folder.resolve("site.star");
        final Path collectionLog = folder.resolve("gc.log");
        final List<String> options = new ArrayList<>(PLATFORM_OPTIONS);
        options.add("-Xlog:gc:file=" + collectionLog);
        try (SmallRequests load = new SmallRequests()) {
            Files.writeString(script, settingsScript(load.startWorkers(TrialCommand.WORKERS)));
            try (NodeProcess node = new NodeProcess(script, options)) {
                load.connect(node.address(), CLIENTS);
                out.println(
                        "| run of "
                                + seconds
                                + " s at "
                                + rate
                                + " reqs a second | ms p50 | p99 | p99.9 | max | not served |"
                                + " node's CPU, us a req | bytes made a req | full collections |"
                                + " young ones | heap held at its end, MB |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
                                + " --- |");
                for (int round = 0; round <= rounds; round++) {
                    final List<String> before = Files.readAllLines(collectionLog);
                    final long allocatedBefore = node.allocated();
                    final long cpuNs = node.cpuNs();
                    final Histogram us = load.run(rate, seconds * 1_000L);
                    final long usedNs = node.cpuNs() - cpuNs;
                    final long allocated = node.allocated() - allocatedBefore;
                    final List<String> logged = Files.readAllLines(collectionLog);
                    final List<String> during = logged.subList(before.size(), logged.size());
                    final long requests = Math.max(1, rate * (long) seconds);
                    out.println(
                            String.format(
                                    Locale.ROOT,
                                    "| %s | %.2f | %.2f | %.2f | %.2f | %d | %d | %d |"
                                            + " %d | %d | %.1f |",
                                    round == 0 ? "warming" : "" + round,
                                    us.getValueAtPercentile(50) / 1e3,
                                    us.getValueAtPercentile(99) / 1e3,
                                    us.getValueAtPercentile(99.9) / 1e3,
                                    us.getMaxValue() / 1e3,
                                    load.notServed(),
                                    usedNs / 1_000 / requests,
                                    allocated / requests,
                                    during.stream()
                                            .filter(each -> each.contains("Pause Full"))
                                            .count(),
                                    during.stream()
                                            .filter(each -> each.contains("Pause Young"))
                                            .count(),
                                    node.memoryHeld().heap() / 1e6));
                    out.flush();
                }
            }
        }
        return ExitCodes.DONE;
    }

    private static String settingsScript(List<InetSocketAddress> workers) {
        final StringBuilder script =
                new StringBuilder(
                        """
                        node(name = "small", listen = "127.0.0.1:0", seed = 1)
                        job_class(name = "small", worth = 1, aim = 1 * s, deadline = 5 * s, effect = "safe")
                        limits(sockets = 4096)
                        """);
        for (int i = 0; i < workers.size(); i++) {
            script.append("worker(id = \"w")
                    .append(i + 1)
                    .append("\", address = \"127.0.0.1:")
                    .append(workers.get(i).getPort())
                    .append("\")\n");
        }
        return script.toString();
    }

    /**
     * What one node used: CPU for a request, and the heap that it held after its requests; medians.
     */
    private record ResourceUse(double usPerRequest, double heapMb) {}

    /** A node for each length of the list, in turn, with the same requests. */
    int endpointLists() throws IOException, InterruptedException {
        out.println(
                "| workers listed | node's CPU, us a req: median (least to most) | against "
                        + LIST_LENGTHS[0]
                        + " | heap held, MB: median | against "
                        + LIST_LENGTHS[0]
                        + " | not served |\n"
                        + "| --- | --- | --- | --- | --- | --- |");
        ResourceUse baseline = null;
        for (final int listed : LIST_LENGTHS) {
            try (SmallRequests load = new SmallRequests()) {
                final Path script = folder.resolve("listed" + listed + ".star");
                Files.writeString(script, settingsScript(load.startWorkers(listed)));
                final List<Double> us = new ArrayList<>();
                final List<Double> heap = new ArrayList<>();
                long notServed = 0;
                try (NodeProcess node = new NodeProcess(script, PLATFORM_OPTIONS)) {
                    load.connect(node.address(), CLIENTS);
                    // The first round is for the program's warming alone.
                    for (int round = 0; round <= rounds; round++) {
                        final long beforeNs = node.cpuNs();
                        load.run(rate, seconds * 1_000L);
                        final long usedNs = node.cpuNs() - beforeNs;
                        if (round > 0) {
                            us.add(usedNs / 1e3 / Math.max(1, rate * (long) seconds));
                            heap.add(node.memoryHeld().heap() / 1e6);
                            notServed += load.notServed();
                        }
                    }
                }
                us.sort(null);
                heap.sort(null);
                final ResourceUse use =
                        new ResourceUse(TrialCommand.median(us), TrialCommand.median(heap));
                baseline = baseline == null ? use : baseline;
                out.println(
                        String.format(
                                Locale.ROOT,
                                "| %d | %.0f (%.0f to %.0f) | %.2f | %.1f | %.2f | %d |",
                                listed,
                                use.usPerRequest(),
                                us.get(0),
                                us.get(us.size() - 1),
                                use.usPerRequest() / baseline.usPerRequest(),
                                use.heapMb(),
                                use.heapMb() / baseline.heapMb(),
                                notServed));
                out.flush();
            }
        }
        return ExitCodes.DONE;
    }
}
