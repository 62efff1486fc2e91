package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import cresschute.testbed.Observation;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * One experiment: dispatcher processes between hollow workers, hollow clients and discovery, each
 * in a process of its own. Jobs come faster until as many run as wanted; then the window is
 * measured, what is open is waited for, and all of it ends. Blocks; whatever happens, no process is
 * left.
 */
public final class CapacityExperiment implements AutoCloseable {

    private static final long SAMPLE_MS = 1_000;
    private static final long LOOK_MS = 100;
    private static final long LISTED_SECONDS = 20;
    private static final long SPARE_DRAIN_SECONDS = 10;
    private static final String WORKERS_PROCESS = "the process of the hollow workers";
    private static final double REACHED = 0.98;
    private static final double NS_A_SECOND = 1e9;
    private static final double US_A_SECOND = 1e6;

    /** The end of an experiment before its time, with why. */
    private static final class Interrupted extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final CapacityPlan plan;
    private final Consumer<String> progress;
    private final CountDownLatch interrupted;
    private final SharedClock clock = SharedClock.start();
    private final List<StubProcess> peers = new ArrayList<>();
    private final List<StubProcess> workers = new ArrayList<>();
    private final List<DispatcherProcess> dispatchers = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final List<Double> heapsMb = new ArrayList<>();
    private StubProcess discovery;
    private StubProcess clients;
    private Path folder;

    /**
     * One that is not started.
     *
     * @param progress is notified of what goes on, a line at a time
     * @param interrupted ends it early at zero
     */
    public CapacityExperiment(
            CapacityPlan plan, Consumer<String> progress, CountDownLatch interrupted) {
        this.plan = plan;
        this.progress = progress;
        this.interrupted = interrupted;
    }

    /**
     * Looks whether the machine has what this plan needs; {@link MachineLimitException} where it
     * has not.
     */
    public static void check(CapacityPlan plan) throws IOException {
        Preflight.check(plan);
    }

    /**
     * Plays it. A process that dies, or an interruption, ends it with what was measured until then.
     */
    public CapacityResult run() throws IOException, InterruptedException {
        check(plan);
        folder = Files.createTempDirectory("cresschute-capacity");
        String partial = null;
        try {
            play();
        } catch (ProcessFailureException e) {
            partial = e.getMessage();
        } catch (Interrupted e) {
            partial = "interrupted";
        } finally {
            close();
        }
        try {
            final List<Observation> seen =
                    ObservationFile.read(peers.stream().map(StubProcess::observations).toList());
            final List<String> faults = new ArrayList<>();
            for (final DispatcherProcess each : dispatchers) {
                faults.addAll(each.faults());
            }
            return Evaluation.of(plan, samples, heapsMb, seen, faults, partial);
        } finally {
            deleteFolder();
        }
    }

    private void play() throws IOException, InterruptedException, Interrupted {
        start();
        ramp();
        window();
        measureHeaps();
        drain();
    }

    // ---- The stages ----

    private void start() throws IOException, InterruptedException, Interrupted {
        progress.accept(
                "starting "
                        + plan.workers()
                        + " workers and "
                        + plan.dispatchers()
                        + " dispatchers");
        final int parts = Preflight.workerProcesses(plan, Preflight.descriptorLimit());
        for (int i = 0; i < parts; i++) {
            workers.add(peer(StubProcessMain.Role.WORKERS, i));
        }
        discovery = peer(StubProcessMain.Role.DISCOVERY, 0);
        clients = peer(StubProcessMain.Role.CLIENTS, 0);
        final InetSocketAddress discoveryAt =
                StubProcess.addresses(discovery.start(plan, clock, 1, startWorkers())).get(0);
        clients.start(plan, clock, 1, List.of());
        for (int i = 0; i < plan.dispatchers(); i++) {
            dispatchers.add(new DispatcherProcess(plan, i, discoveryAt, folder));
        }
        discovery.guard(dispatchers.stream().map(DispatcherProcess::pid).toList());
        final List<InetSocketAddress> dispatchersAt = new ArrayList<>();
        for (final DispatcherProcess each : dispatchers) {
            dispatchersAt.add(each.awaitListening());
        }
        // Each has the whole list once it watches for changes of it.
        final long startNs = System.nanoTime();
        while (discovery.ask("counts").get("watching").getAsInt() < plan.dispatchers()) {
            if (secondsSince(startNs) > LISTED_SECONDS) {
                throw new ProcessFailureException("the dispatchers do not watch the list");
            }
            pause(LOOK_MS);
        }
        clients.begin(dispatchersAt);
    }

    /**
     * Starts all workers in their processes and returns where they listen, in the order of the
     * list.
     */
    private List<InetSocketAddress> startWorkers() throws IOException {
        final List<Iterator<InetSocketAddress>> started = new ArrayList<>();
        for (final StubProcess each : workers) {
            started.add(
                    StubProcess.addresses(each.start(plan, clock, workers.size(), List.of()))
                            .iterator());
        }
        return new ExperimentSetup(plan)
                .workers().stream()
                        .map(
                                make ->
                                        started.get(ExperimentSetup.partOf(make, workers.size()))
                                                .next())
                        .toList();
    }

    private StubWorkers.Counts workerCounts() throws IOException {
        StubWorkers.Counts sum = StubWorkers.Counts.NONE;
        for (final StubProcess each : workers) {
            sum = sum.plus(StubWorkers.Counts.of(each.ask("counts")));
        }
        return sum;
    }

    private StubProcess peer(StubProcessMain.Role role, int part) throws IOException {
        final StubProcess peer = new StubProcess(role, part, folder);
        peers.add(peer);
        return peer;
    }

    private void ramp() throws IOException, InterruptedException, Interrupted {
        final long startNs = System.nanoTime();
        final double longest = StubClients.maxRampSeconds(plan);
        int running = 0;
        while (running < REACHED * plan.running() && secondsSince(startNs) < longest) {
            pause(LOOK_MS);
            final StubWorkers.Counts counts = workerCounts();
            running = counts.running();
            progress.accept(
                    "ramp: "
                            + running
                            + " of "
                            + plan.running()
                            + " running after "
                            + Math.round(secondsSince(startNs))
                            + " s; "
                            + counts.connections()
                            + " connections, "
                            + counts.traffic().messages(TrafficKind.PROBE)
                            + " probes so far");
        }
        clients.ask("end_ramp");
        discovery.begin(List.of());
    }

    private void window() throws IOException, InterruptedException, Interrupted {
        final long startNs = System.nanoTime();
        int changes = 0;
        samples.add(sample());
        while (secondsSince(startNs) < plan.seconds()) {
            final double leftMs = 1_000 * (plan.seconds() - secondsSince(startNs));
            pause(Math.max(1, Math.min(SAMPLE_MS, (long) Math.ceil(leftMs))));
            if (secondsSince(startNs) * plan.settingsChangesPerSecond() >= changes + 1) {
                changes++;
                for (final DispatcherProcess each : dispatchers) {
                    each.changeSettings();
                }
            }
            samples.add(sample());
            progress.accept(
                    "measured "
                            + Math.round(secondsSince(startNs))
                            + " of "
                            + Math.round(plan.seconds())
                            + " s: "
                            + samples.get(samples.size() - 1).running()
                            + " running, "
                            + samples.get(samples.size() - 1).open()
                            + " open");
        }
    }

    private Sample sample() throws IOException {
        final StubWorkers.Counts workerCounts = workerCounts();
        final JsonObject discoveryCounts = discovery.ask("counts");
        final JsonObject clientCounts = clients.ask("counts");
        final List<ProcessUsage> ofDispatchers = new ArrayList<>();
        for (final DispatcherProcess each : dispatchers) {
            ofDispatchers.add(use(each.pid(), "a dispatcher"));
        }
        ProcessUsage ofWorkers = use(workers.get(0).pid(), WORKERS_PROCESS);
        for (final StubProcess each : workers.subList(1, workers.size())) {
            ofWorkers = ofWorkers.plus(use(each.pid(), WORKERS_PROCESS));
        }
        return new Sample(
                System.nanoTime(),
                clock.nowUs(),
                ofDispatchers,
                List.of(
                        ofWorkers,
                        use(discovery.pid(), "discovery"),
                        use(clients.pid(), "the process of the hollow clients")),
                workerCounts,
                discoveryCounts,
                clientCounts);
    }

    private static ProcessUsage use(long pid, String what) throws ProcessFailureException {
        try {
            return ProcessUsage.of(pid);
        } catch (IOException | RuntimeException e) {
            throw new ProcessFailureException(what + " ended");
        }
    }

    private void measureHeaps() throws IOException {
        for (final DispatcherProcess each : dispatchers) {
            final double heapMb = ProcessUsage.heapMb(each.pid());
            if (Double.isFinite(heapMb)) {
                heapsMb.add(heapMb);
            }
        }
    }

    /**
     * Waits until all that is open is answered; what is not when the longest job must be over,
     * stays.
     */
    private void drain() throws IOException, InterruptedException, Interrupted {
        clients.ask("stop_arriving");
        final double longest =
                SPARE_DRAIN_SECONDS + new ExperimentSetup(plan).deadlineUs() / US_A_SECOND;
        final long startNs = System.nanoTime();
        int open = clients.ask("counts").get("open").getAsInt();
        while (open > 0 && secondsSince(startNs) < longest) {
            pause(LOOK_MS);
            open = clients.ask("counts").get("open").getAsInt();
            progress.accept("waiting for " + open + " open requests");
        }
        clients.ask("abandon");
        workerCounts();
        discovery.ask("counts");
    }

    private static double secondsSince(long startNs) {
        return (System.nanoTime() - startNs) / NS_A_SECOND;
    }

    /** Looks meanwhile whether all processes are there. */
    private void pause(long ms) throws InterruptedException, Interrupted, ProcessFailureException {
        if (interrupted.await(ms, TimeUnit.MILLISECONDS)) {
            throw new Interrupted();
        }
        for (int i = 0; i < dispatchers.size(); i++) {
            if (!dispatchers.get(i).isAlive()) {
                throw new ProcessFailureException("dispatcher " + (i + 1) + " ended");
            }
        }
    }

    @Override
    public void close() {
        peers.forEach(StubProcess::close);
        dispatchers.forEach(DispatcherProcess::close);
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (final Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }
}
