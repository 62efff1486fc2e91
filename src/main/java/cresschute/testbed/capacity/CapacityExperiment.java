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
 * Runs one experiment: dispatcher processes, with stub workers, stub clients and a stub discovery
 * service in processes of their own. Requests arrive at a raised rate until the planned number of
 * jobs is running; then a window is measured, open requests are awaited, and all processes are
 * killed. The calling thread blocks. No process outlives the experiment, whichever way it ends.
 */
public final class CapacityExperiment implements AutoCloseable {

    private static final long SAMPLE_INTERVAL_MS = 1_000;
    private static final long POLL_INTERVAL_MS = 100;
    private static final long WATCH_TIMEOUT_SECONDS = 20;
    private static final long DRAIN_MARGIN_SECONDS = 10;
    private static final String WORKERS_PROCESS_NAME = "the process of the stub workers";
    private static final double RAMP_COMPLETE_FRACTION = 0.98;
    private static final double NS_PER_SECOND = 1e9;
    private static final double US_PER_SECOND = 1e6;

    /** The user interrupted the experiment. */
    private static final class ExperimentInterruptedException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final CapacityPlan plan;
    private final Consumer<String> progress;
    private final CountDownLatch interrupted;
    private final SharedClock clock = SharedClock.start();
    private final List<StubProcess> stubs = new ArrayList<>();
    private final List<StubProcess> workers = new ArrayList<>();
    private final List<DispatcherProcess> dispatchers = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final List<Double> heapsMb = new ArrayList<>();
    private StubProcess discovery;
    private StubProcess clients;
    private Path folder;

    /**
     * Creates an experiment without starting it.
     *
     * @param progress gets progress messages, one line at a time
     * @param interrupted ends the experiment early when it reaches zero
     */
    public CapacityExperiment(
            CapacityPlan plan, Consumer<String> progress, CountDownLatch interrupted) {
        this.plan = plan;
        this.progress = progress;
        this.interrupted = interrupted;
    }

    /**
     * Checks that the machine has the resources for a plan.
     *
     * @throws MachineLimitException if it lacks one
     */
    public static void check(CapacityPlan plan) throws IOException {
        Preflight.check(plan);
    }

    /**
     * Runs the experiment. If a process ends or the user interrupts, the result is partial and
     * holds the measurements until then.
     */
    public CapacityResult run() throws IOException, InterruptedException {
        check(plan);
        folder = Files.createTempDirectory("cresschute-capacity");
        String partial = null;
        try {
            runStages();
        } catch (ProcessFailureException e) {
            partial = e.getMessage();
        } catch (ExperimentInterruptedException e) {
            partial = "interrupted";
        } finally {
            close();
        }
        try {
            final List<Observation> observations =
                    ObservationFile.read(stubs.stream().map(StubProcess::observations).toList());
            final List<String> faults = new ArrayList<>();
            for (final DispatcherProcess each : dispatchers) {
                faults.addAll(each.loggedFaults());
            }
            return Evaluation.of(plan, samples, heapsMb, observations, faults, partial);
        } finally {
            deleteFolder();
        }
    }

    private void runStages()
            throws IOException, InterruptedException, ExperimentInterruptedException {
        start();
        ramp();
        window();
        measureHeaps();
        drain();
    }

    // ---- The stages ----

    private void start() throws IOException, InterruptedException, ExperimentInterruptedException {
        progress.accept(
                "starting "
                        + plan.workers()
                        + " workers and "
                        + plan.dispatchers()
                        + " dispatchers");
        final int parts = Preflight.workerProcesses(plan, Preflight.descriptorLimit());
        for (int i = 0; i < parts; i++) {
            workers.add(startStub(StubProcessMain.Role.WORKERS, i));
        }
        discovery = startStub(StubProcessMain.Role.DISCOVERY, 0);
        clients = startStub(StubProcessMain.Role.CLIENTS, 0);
        final InetSocketAddress discoveryAddress =
                StubProcess.addresses(discovery.start(plan, clock, 1, startWorkers())).get(0);
        clients.start(plan, clock, 1, List.of());
        for (int i = 0; i < plan.dispatchers(); i++) {
            dispatchers.add(new DispatcherProcess(plan, i, discoveryAddress, folder));
        }
        discovery.guard(dispatchers.stream().map(DispatcherProcess::pid).toList());
        final List<InetSocketAddress> dispatcherAddresses = new ArrayList<>();
        for (final DispatcherProcess each : dispatchers) {
            dispatcherAddresses.add(each.awaitListening());
        }
        // A dispatcher that watches the list for changes has received all of it.
        final long startNs = System.nanoTime();
        while (discovery.ask("counts").get("watching").getAsInt() < plan.dispatchers()) {
            if (secondsSince(startNs) > WATCH_TIMEOUT_SECONDS) {
                throw new ProcessFailureException(
                        "not all dispatchers watched the endpoint list in time");
            }
            pause(POLL_INTERVAL_MS);
        }
        clients.begin(dispatcherAddresses);
    }

    /**
     * Starts all workers in their processes and returns their addresses, in the order of the
     * endpoint list.
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
                                worker ->
                                        started.get(
                                                        ExperimentSetup.processIndex(
                                                                worker, workers.size()))
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

    private StubProcess startStub(StubProcessMain.Role role, int part) throws IOException {
        final StubProcess stub = new StubProcess(role, part, folder);
        stubs.add(stub);
        return stub;
    }

    private void ramp() throws IOException, InterruptedException, ExperimentInterruptedException {
        final long startNs = System.nanoTime();
        final double maxSeconds = StubClients.maxRampSeconds(plan);
        int running = 0;
        while (running < RAMP_COMPLETE_FRACTION * plan.running()
                && secondsSince(startNs) < maxSeconds) {
            pause(POLL_INTERVAL_MS);
            final StubWorkers.Counts counts = workerCounts();
            running = counts.running();
            progress.accept(
                    "ramp: "
                            + running
                            + " of "
                            + plan.running()
                            + " jobs running after "
                            + Math.round(secondsSince(startNs))
                            + " s; "
                            + counts.connections()
                            + " connections, "
                            + counts.traffic().messages(TrafficKind.PROBE)
                            + " load queries so far");
        }
        clients.ask("end_ramp");
        discovery.begin(List.of());
    }

    private void window() throws IOException, InterruptedException, ExperimentInterruptedException {
        final long startNs = System.nanoTime();
        int changes = 0;
        samples.add(sample());
        while (secondsSince(startNs) < plan.seconds()) {
            final double leftMs = 1_000 * (plan.seconds() - secondsSince(startNs));
            pause(Math.max(1, Math.min(SAMPLE_INTERVAL_MS, (long) Math.ceil(leftMs))));
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
        final List<ProcessUsage> dispatcherUsage = new ArrayList<>();
        for (final DispatcherProcess each : dispatchers) {
            dispatcherUsage.add(usage(each.pid(), "a dispatcher"));
        }
        ProcessUsage workerUsage = usage(workers.get(0).pid(), WORKERS_PROCESS_NAME);
        for (final StubProcess each : workers.subList(1, workers.size())) {
            workerUsage = workerUsage.plus(usage(each.pid(), WORKERS_PROCESS_NAME));
        }
        return new Sample(
                System.nanoTime(),
                clock.nowUs(),
                dispatcherUsage,
                List.of(
                        workerUsage,
                        usage(discovery.pid(), "the process of the stub discovery"),
                        usage(clients.pid(), "the process of the stub clients")),
                workerCounts,
                discoveryCounts,
                clientCounts);
    }

    private static ProcessUsage usage(long pid, String what) throws ProcessFailureException {
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
     * Waits until all open requests are answered, at most until the deadline of the last one plus a
     * margin. Requests still open then stay unfinished.
     */
    private void drain() throws IOException, InterruptedException, ExperimentInterruptedException {
        clients.ask("stop_arriving");
        final double maxSeconds =
                DRAIN_MARGIN_SECONDS + new ExperimentSetup(plan).deadlineUs() / US_PER_SECOND;
        final long startNs = System.nanoTime();
        int open = clients.ask("counts").get("open").getAsInt();
        while (open > 0 && secondsSince(startNs) < maxSeconds) {
            pause(POLL_INTERVAL_MS);
            open = clients.ask("counts").get("open").getAsInt();
            progress.accept("waiting for " + open + " open requests");
        }
        clients.ask("abandon");
        workerCounts();
        discovery.ask("counts");
    }

    private static double secondsSince(long startNs) {
        return (System.nanoTime() - startNs) / NS_PER_SECOND;
    }

    /** Waits, and fails if the user interrupted or a dispatcher process has ended. */
    private void pause(long ms)
            throws InterruptedException, ExperimentInterruptedException, ProcessFailureException {
        if (interrupted.await(ms, TimeUnit.MILLISECONDS)) {
            throw new ExperimentInterruptedException();
        }
        for (int i = 0; i < dispatchers.size(); i++) {
            if (!dispatchers.get(i).isAlive()) {
                throw new ProcessFailureException("dispatcher " + (i + 1) + " ended");
            }
        }
    }

    @Override
    public void close() {
        stubs.forEach(StubProcess::close);
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
