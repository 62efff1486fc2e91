package cresschute.testbed.bodies;

import cresschute.testbed.NodeProcess;
import cresschute.testbed.SmallRequests;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Runs long bodies through a node in a separate process: at different speeds, beside small
 * requests, and with the memory held per open request. Every byte is checked where it arrives.
 * Blocks until everything has run.
 */
public final class BodiesTrial {

    private static final int WORKERS = 40;
    private static final int SMALL_WORKERS = 8;
    private static final int SMALL_CLIENTS = 50;
    private static final int SMALL_PER_S = 500;
    private static final long MODEM_BYTES_PER_S = 7_000;
    private static final int SETTLE_MS = 1_500;

    /** The maximum duration of one transfer, s. */
    private static final long MAX_TRANSFER_S = 900;

    private static final double MB = 1e6;
    private static final List<String> NODE_OPTIONS =
            List.of("-XX:+UseSerialGC", "-Xms24m", "-Xmx64m", "-XX:MaxDirectMemorySize=96m");

    /**
     * The size of the experiment.
     *
     * @param bytes length of each long body when no peer is slow
     * @param rounds runs of each pair of speeds
     * @param slow number of bodies open beside small requests
     * @param seconds duration of slow bodies and of the small requests beside them
     */
    public record Size(long bytes, int rounds, int slow, int seconds) {}

    private record Pair(String what, boolean isResult, long client, long worker) {}

    private final Size size;
    private final PrintWriter out;
    private final AtomicLong lastId = new AtomicLong();
    private final List<String> failures = new CopyOnWriteArrayList<>();

    /** Creates an experiment that writes result rows to {@code out} as they become known. */
    public BodiesTrial(Size size, PrintWriter out) {
        this.size = size;
        this.out = out;
    }

    /**
     * Runs the experiment and returns the failures; {@code chart} is drawn from all memory samples.
     */
    public List<String> run(Path folder, Path chart) throws IOException, InterruptedException {
        final Path script = folder.resolve("bodies.star");
        try (BodiesSite site = new BodiesSite(WORKERS);
                SmallRequests small = new SmallRequests()) {
            site.writeSettings(script, small.startWorkers(SMALL_WORKERS));
            try (NodeProcess node = new NodeProcess(script, NODE_OPTIONS);
                    MemorySampler memory = new MemorySampler(node);
                    PlainRelay plain = new PlainRelay(site.anyWorker())) {
                measureThroughput(node.address(), plain.address(), memory);
                measureSlowReader(node.address(), memory);
                measureBesideSmallRequests(node, small, memory);
                measureHeldMemory(node);
                memory.draw(
                        chart,
                        "direct at the start + budget of "
                                + String.format(Locale.ROOT, "%.1f", BodiesSite.BUDGET / MB)
                                + " MB",
                        memory.directAtStart() + BodiesSite.BUDGET);
            }
            failures.addAll(site.violations());
        }
        return List.copyOf(failures);
    }

    private void row(String form, Object... values) {
        out.println(String.format(Locale.ROOT, form, values));
        out.flush();
    }

    private BodyClient.Plan plan(
            InetSocketAddress to, Pair pair, long bytes, long leaveAfter, boolean ownLines) {
        final String id = "body-" + lastId.incrementAndGet();
        final String target =
                (pair.isResult() ? "/report?result=" + bytes + "&out=" : "/upload?in=")
                        + pair.worker();
        return new BodyClient.Plan(
                to,
                id,
                target,
                pair.isResult() ? 0 : bytes,
                false,
                TransferProfile.of(pair.isResult() ? 0 : pair.client()),
                TransferProfile.of(pair.isResult() ? pair.client() : 0),
                leaveAfter,
                ownLines);
    }

    private BodyClient.Result runTransfer(BodyClient.Plan plan) {
        final BodyClient.Result result = BodyClient.run(plan);
        if (plan.leaveAfter() < 0 && !(result.status() == 200 && result.complete())) {
            failures.add(
                    plan.target()
                            + ": status "
                            + result.status()
                            + " after "
                            + result.bytes()
                            + " bytes "
                            + result.text());
        }
        return result;
    }

    // ---- Different speeds ----

    private void measureThroughput(
            InetSocketAddress node, InetSocketAddress plain, MemorySampler memory) {
        final long fast = 40_000_000;
        final List<Pair> pairs =
                List.of(
                        new Pair("body, both as fast as it goes", false, 0, 0),
                        new Pair("body, worker at 40 MB/s", false, 0, fast),
                        new Pair("body, client at 40 MB/s", false, fast, 0),
                        new Pair("result, both as fast as it goes", true, 0, 0),
                        new Pair("result, client at 40 MB/s", true, fast, 0),
                        new Pair("result, worker at 40 MB/s", true, 0, fast));
        row(
                "| %d MB at a time | MB/s: median (least to most) | of a plain copy: median (least"
                        + " to most) | most heap, MB | most direct, MB |\n"
                        + "| --- | --- | --- | --- | --- |",
                Math.round(size.bytes() / MB));
        for (final Pair pair : pairs) {
            runTransfer(plan(node, pair, size.bytes(), -1, false));
            final double since = memory.elapsedS();
            final List<Double> rates = new ArrayList<>();
            final List<Double> ratios = new ArrayList<>();
            for (int round = 0; round < size.rounds(); round++) {
                final double through = rate(runTransfer(plan(node, pair, size.bytes(), -1, false)));
                final double copied = rate(runTransfer(plan(plain, pair, size.bytes(), -1, true)));
                rates.add(through);
                ratios.add(through / copied);
            }
            final NodeProcess.Memory most = memory.maxSince(since);
            row(
                    "| %s | %s | %s | %.1f | %.1f |",
                    pair.what(),
                    spread(rates, "%.0f"),
                    spread(ratios, "%.2f"),
                    most.heap() / MB,
                    most.direct() / MB);
        }
    }

    private static double rate(BodyClient.Result result) {
        return result.bytes() / MB / (result.ns() / 1e9);
    }

    private static String spread(List<Double> values, String form) {
        final List<Double> sorted = values.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                form + " (" + form + " to " + form + ")",
                sorted.get(sorted.size() / 2),
                sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    /**
     * Measures a client that reads at modem speed while the worker would send everything at once.
     */
    private void measureSlowReader(InetSocketAddress node, MemorySampler memory) {
        final double since = memory.elapsedS();
        final BodyClient.Result result =
                runTransfer(
                        plan(
                                node,
                                new Pair("", true, MODEM_BYTES_PER_S, 0),
                                size.bytes(),
                                MODEM_BYTES_PER_S * size.seconds(),
                                false));
        final NodeProcess.Memory most = memory.maxSince(since);
        row(
                "| result, client at 7 kB/s, left after %d s | %.4f | | %.1f | %.1f |",
                size.seconds(), rate(result), most.heap() / MB, most.direct() / MB);
    }

    // ---- Beside small requests ----

    private void measureBesideSmallRequests(
            NodeProcess node, SmallRequests small, MemorySampler memory)
            throws InterruptedException {
        row(
                "\n"
                    + "| %d small reqs a second for %d s | ms p50 | p99 | p99.9 | most | not served"
                    + " | node's CPU, %% of a core | most direct, MB |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- | --- |",
                SMALL_PER_S, size.seconds());
        // Connects only now, because the node closes connections that send nothing at first.
        small.connect(node.address(), SMALL_CLIENTS);
        small.run(SMALL_PER_S, SETTLE_MS);
        for (int round = 0; round < size.rounds(); round++) {
            smallRequests("alone", node, small, memory);
            final SlowTransfers slow = new SlowTransfers(node.address(), size.slow());
            smallRequests(
                    "beside " + slow.flowing() + " slow bodies and results", node, small, memory);
            slow.leave();
        }
    }

    private void smallRequests(
            String what, NodeProcess node, SmallRequests small, MemorySampler memory)
            throws InterruptedException {
        final double since = memory.elapsedS();
        final long cpuNs = node.cpuNs();
        final long startNs = System.nanoTime();
        final Histogram us = small.run(SMALL_PER_S, size.seconds() * 1_000L);
        final double cpu = 100.0 * (node.cpuNs() - cpuNs) / (System.nanoTime() - startNs);
        row(
                "| %s | %.2f | %.2f | %.2f | %.2f | %d | %.0f | %.1f |",
                what,
                us.getValueAtPercentile(50) / 1e3,
                us.getValueAtPercentile(99) / 1e3,
                us.getValueAtPercentile(99.9) / 1e3,
                us.getMaxValue() / 1e3,
                small.notServed(),
                cpu,
                memory.maxSince(since).direct() / MB);
    }

    /** Slow bodies and results, half of each, until they end. */
    private final class SlowTransfers {
        private static final long RATE = 20_000;
        private final List<CompletableFuture<BodyClient.Result>> all = new ArrayList<>();
        private final int wanted;

        SlowTransfers(InetSocketAddress node, int count) throws InterruptedException {
            wanted = count;
            final long bytes = RATE * (size.seconds() + 4);
            for (int i = 0; i < count; i++) {
                final Pair pair = new Pair("", i % 2 == 1, RATE, 0);
                all.add(
                        CompletableFuture.supplyAsync(
                                () -> BodyClient.run(plan(node, pair, bytes, -1, false)),
                                BodyWorker::daemon));
            }
            Thread.sleep(SETTLE_MS);
        }

        /** The number of transfers that were not rejected and still run. */
        long flowing() {
            return wanted - all.stream().filter(CompletableFuture::isDone).count();
        }

        void leave() {
            int served = 0;
            int refused = 0;
            for (final CompletableFuture<BodyClient.Result> each : all) {
                final BodyClient.Result result =
                        each.orTimeout(MAX_TRANSFER_S, TimeUnit.SECONDS).join();
                served += result.status() == 200 && result.complete() ? 1 : 0;
                refused += result.status() == 503 ? 1 : 0;
            }
            if (served + refused < wanted) {
                failures.add(
                        "of "
                                + wanted
                                + " slow transfers "
                                + served
                                + " were served and "
                                + refused
                                + " refused");
            }
        }
    }

    // ---- Memory per open request ----

    private void measureHeldMemory(NodeProcess node) throws IOException, InterruptedException {
        row(
                "\n"
                        + "| open at a time | heap held, kB each | direct in use, kB each |\n"
                        + "| --- | --- | --- |");
        final NodeProcess.Memory before = settled(node);
        final List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < size.slow(); i++) {
            idle.add(new Socket(node.address().getAddress(), node.address().getPort()));
        }
        perRequestRow("connections that bring nothing", before, settled(node), size.slow());
        for (final Socket socket : idle) {
            socket.close();
        }
        measureFlowing("bodies that flow at 20 kB/s", node, SlowTransfers.RATE, "");
        measureFlowing("bodies whose worker takes nothing", node, 0, "&stall=0");
    }

    private void measureFlowing(String what, NodeProcess node, long rate, String fault)
            throws InterruptedException {
        final NodeProcess.Memory before = settled(node);
        final CountDownLatch ended = new CountDownLatch(size.slow());
        for (int i = 0; i < size.slow(); i++) {
            final Pair pair = new Pair(what, false, rate, 0);
            final BodyClient.Plan base =
                    plan(node.address(), pair, rate == 0 ? size.bytes() : rate * 10, -1, false);
            final BodyClient.Plan plan =
                    new BodyClient.Plan(
                            base.to(),
                            base.id(),
                            base.target() + fault,
                            base.upload(),
                            false,
                            base.up(),
                            base.down(),
                            -1,
                            false);
            BodyWorker.daemon(
                    () -> {
                        BodyClient.run(plan);
                        ended.countDown();
                    });
        }
        Thread.sleep(2 * SETTLE_MS);
        final long open = ended.getCount();
        perRequestRow(open + " " + what, before, node.memoryHeld(), Math.max(1, open));
        if (!ended.await(MAX_TRANSFER_S, TimeUnit.SECONDS)) {
            failures.add(
                    ended.getCount()
                            + " "
                            + what
                            + " had not ended after "
                            + MAX_TRANSFER_S
                            + " s");
        }
    }

    private static NodeProcess.Memory settled(NodeProcess node) throws InterruptedException {
        Thread.sleep(SETTLE_MS);
        return node.memoryHeld();
    }

    private void perRequestRow(
            String what, NodeProcess.Memory before, NodeProcess.Memory after, long count) {
        row(
                "| %s | %.1f | %.1f |",
                what,
                (after.heap() - before.heap()) / 1e3 / count,
                (after.direct() - before.direct()) / 1e3 / count);
    }
}
