package cresschute.testbed;

import cresschute.dispatch.SlowStartSettings;
import cresschute.node.NodeConfig;
import cresschute.node.NodeServer;
import cresschute.settings.NodeSettings;
import cresschute.settings.Problem;
import cresschute.settings.SettingsFile;
import cresschute.testbed.JobClass.Demand;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.OperatorDrained;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A complete site on loopback ports: discovery, workers, clients, and a real node, as {@code serve}
 * runs it, on its own event loop. The stand-ins share another event loop. All random choices come
 * from a seed, but the times at which sockets are read do not, so that runs are similar and not
 * identical.
 */
public final class Fleet implements AutoCloseable {

    private static final int CELLS = 2;
    private static final double BIG_WORKER_SHARE = 0.3;
    private static final long LIST_DELAY_US = 200_000;
    private static final long MAX_STOP_WAIT_S = 10;

    /** The maximum wait for a call on the loop, s. */
    private static final long MAX_LOOP_WAIT_S = 30;

    /**
     * The configuration of a fleet.
     *
     * @param ratePerS jobs that arrive per second on average
     * @param controlSocket path at which consoles connect to the node, or null
     * @param stateFolder folder in which the node stores operator drains, or null
     */
    public record Plan(
            int workers,
            double ratePerS,
            long seed,
            List<InjectedFault> faults,
            String controlSocket,
            String stateFolder) {

        /** Creates the configuration of a fleet without a control socket and a state folder. */
        public Plan(int workers, double ratePerS, long seed, List<InjectedFault> faults) {
            this(workers, ratePerS, seed, faults, null, null);
        }
    }

    private final Plan plan;
    private final Recorder recorder = new Recorder();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final UniformRandomProvider random;
    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final DiscoveryStandIn discovery;
    private final NodeSettings settings;
    private final List<JobClass> classes;
    private final LoadClients clients;
    private final NodeServer node;
    private boolean closed;

    /** Starts discovery and workers and builds the node; nothing is sent yet. */
    public Fleet(Plan plan) {
        this.plan = plan;
        random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
        final InetSocketAddress discoveryAt;
        discovery = new DiscoveryStandIn(loop, recorder);
        try {
            discoveryAt = discovery.start();
            final NodeSettings settingsWithoutWorkers = settings(discoveryAt, List.of());
            for (int i = 0; i < plan.workers(); i++) {
                workers.add(worker(i, settingsWithoutWorkers));
            }
            settings = settings(discoveryAt, workers);
            classes =
                    JobClass.of(
                            settings,
                            List.of(
                                    new Demand("lookup", 0.49, 400_000),
                                    new Demand("report", 0.27, 1_500_000),
                                    new Demand("file", 0.24, 2_400_000)));
            clients =
                    new LoadClients(
                            loop,
                            recorder,
                            RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 1),
                            classes,
                            plan.ratePerS());
            node = new NodeServer(NodeConfig.of(settings, plan.seed()));
            checkFaults();
        } catch (RuntimeException e) {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw e;
        }
    }

    private WorkerStandIn worker(int number, NodeSettings settingsWithoutWorkers) {
        final boolean big = random.nextDouble() < BIG_WORKER_SHARE;
        final double speed =
                big ? 1.3 + 0.4 * random.nextDouble() : 0.85 + 0.25 * random.nextDouble();
        final int cell = number % CELLS;
        final WorkerStandIn worker =
                new WorkerStandIn(
                        loop,
                        recorder,
                        RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 100 + number),
                        new WorkerStandIn.Spec(
                                "w" + (number + 1),
                                cell,
                                "local",
                                big ? "big" : "std",
                                big ? 5 : 4,
                                speed),
                        number < CELLS
                                ? new CellKeys(windowUs(settingsWithoutWorkers))
                                : workers.get(cell).keys(),
                        settingsWithoutWorkers.dispatch().slowStart());
        worker.start();
        onLoop(() -> discovery.setState(worker, "SERVING", 0));
        return worker;
    }

    private static long windowUs(NodeSettings settings) {
        return settings.dispatch().classes().stream()
                .mapToLong(each -> each.deduplicationWindowUs())
                .max()
                .orElse(0);
    }

    /** Parses the settings from a script, as a site does, with the addresses put before it. */
    private NodeSettings settings(InetSocketAddress discovery, List<WorkerStandIn> workers) {
        final String script =
                "DIRECTOR = \"127.0.0.1:"
                        + discovery.getPort()
                        + "\"\nWORKERS = ["
                        + workers.stream()
                                .map(
                                        each ->
                                                "(\""
                                                        + each.spec().id()
                                                        + "\", \"127.0.0.1:"
                                                        + each.address().getPort()
                                                        + "\", \""
                                                        + each.spec().kind()
                                                        + "\", "
                                                        + each.spec().cell()
                                                        + ")")
                                .collect(Collectors.joining(", "))
                        + "]\n"
                        + demoScript()
                        + (plan.controlSocket() == null
                                ? ""
                                : "\ncontrol(socket = " + quoted(plan.controlSocket()) + ")\n")
                        + (plan.stateFolder() == null
                                ? ""
                                : "\nstate(folder = " + quoted(plan.stateFolder()) + ")\n");
        final SettingsFile.Result result = SettingsFile.parse(script);
        if (result.settings() == null) {
            throw new IllegalStateException(
                    result.problems().stream()
                            .map(Problem::toString)
                            .collect(Collectors.joining("; ")));
        }
        return result.settings();
    }

    private static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static String demoScript() {
        try (InputStream in = Fleet.class.getResourceAsStream("demo.star")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void checkFaults() {
        for (final InjectedFault fault : plan.faults()) {
            if (fault.worker() != null
                    && workers.stream()
                            .noneMatch(each -> each.spec().id().equals(fault.worker()))) {
                throw new IllegalArgumentException(
                        "no worker is called '"
                                + fault.worker()
                                + "'; there are w1 to w"
                                + workers.size());
            }
        }
    }

    /** Starts the node and the clients, and schedules the faults. */
    public void start() {
        final SocketAddress at = node.start();
        onLoop(
                () -> {
                    discovery.setReportDelay(LIST_DELAY_US);
                    clients.start(at);
                    plan.faults().forEach(this::plan);
                });
    }

    // ---- Faults ----

    private void plan(InjectedFault fault) {
        final WorkerStandIn worker =
                !fault.kind().isOfWorker()
                        ? null
                        : workers.stream()
                                .filter(each -> each.spec().id().equals(fault.worker()))
                                .findFirst()
                                .orElseGet(() -> workers.get(random.nextInt(workers.size())));
        loop.schedule(() -> begin(fault, worker), fault.atUs(), TimeUnit.MICROSECONDS);
        loop.schedule(
                () -> end(fault, worker), fault.atUs() + fault.forUs(), TimeUnit.MICROSECONDS);
    }

    private void begin(InjectedFault fault, WorkerStandIn worker) {
        switch (fault.kind()) {
            case SLOW -> worker.setSlowdown(fault.factor());
            case SILENT -> worker.setSilent(true);
            case RESET -> worker.setResetShare(fault.factor());
            case GARBAGE -> worker.setGarbageShare(fault.factor());
            case LATE -> worker.setReportDelay((long) (fault.factor() * 1e6));
            case CRASH -> {
                worker.crash();
                discovery.setState(worker, "DELETED", 0);
            }
            case DRAIN -> discovery.setState(worker, "DRAINING", 0);
            case BURST -> clients.setBurstFactor(fault.factor());
            case TAIL -> clients.setTailFactor(fault.factor());
            case DIRECTOR -> discovery.setDown(true);
        }
    }

    private void end(InjectedFault fault, WorkerStandIn worker) {
        switch (fault.kind()) {
            case SLOW -> worker.setSlowdown(1);
            case SILENT -> worker.setSilent(false);
            case RESET -> worker.setResetShare(0);
            case GARBAGE -> worker.setGarbageShare(0);
            case LATE -> worker.setReportDelay(0);
            case CRASH -> {
                worker.boot();
                discovery.setState(worker, "SERVING", recorder.nowUs() / 1000);
            }
            case DRAIN -> discovery.setState(worker, "SERVING", 0);
            case BURST -> clients.setBurstFactor(1);
            case TAIL -> clients.setTailFactor(1);
            case DIRECTOR -> discovery.setDown(false);
        }
    }

    // ---- The run ----

    /** Stops the arrival of new jobs. */
    public void stopArriving() {
        onLoop(clients::stopArriving);
    }

    /** The number of jobs that wait for a response. */
    public int waiting() {
        return CompletableFuture.supplyAsync(clients::waiting, loop)
                .orTimeout(MAX_LOOP_WAIT_S, TimeUnit.SECONDS)
                .join();
    }

    /** Returns the results and rule breaches of the observations so far. */
    public FleetReport report() {
        final List<Observation> seen = recorder.observations();
        return new FleetReport(
                RequestOutcomes.of(seen, classes),
                RuleChecker.check(seen, classes, coldStart()),
                node.invariantBreaches());
    }

    /** The observations so far. */
    List<Observation> observations() {
        return recorder.observations();
    }

    /** Starts a fault of a worker. Must not be called on the fleet's loop. */
    void begin(InjectedFault.Kind kind, String worker) {
        onLoop(() -> begin(new InjectedFault(kind, worker, 1, 0, 0), workerById(worker)));
    }

    /** Ends a fault of a worker. Must not be called on the fleet's loop. */
    void end(InjectedFault.Kind kind, String worker) {
        onLoop(() -> end(new InjectedFault(kind, worker, 1, 0, 0), workerById(worker)));
    }

    private WorkerStandIn workerById(String id) {
        return workers.stream()
                .filter(each -> each.spec().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Records that the node has confirmed an operator drain at this time, Unix time in
     * microseconds.
     */
    public void drainedAt(String worker, long us) {
        recorder.add(new OperatorDrained(us, worker, true));
    }

    /** Records that an operator drain ends now: the worker may get requests again. */
    public void undrained(String worker) {
        recorder.add(new OperatorDrained(recorder.nowUs(), worker, false));
    }

    /**
     * The time of the first byte of the newest attempt at a worker, Unix time in microseconds; 0 if
     * there is none.
     */
    public long lastSendUs(String worker) {
        final List<Observation> seen = recorder.observations();
        for (int i = seen.size() - 1; i >= 0; i--) {
            if (seen.get(i) instanceof AttemptReceived send && send.worker().equals(worker)) {
                return send.firstByteUs();
            }
        }
        return 0;
    }

    /** CPU time of the node's event loop, ns. */
    public long nodeCpuNs() {
        return node.loopCpuNs();
    }

    /**
     * The number of attempts at each worker between two times, Unix time in microseconds; workers
     * without attempts are missing.
     */
    public Map<String, Long> sends(long fromUs, long toUs) {
        return recorder.observations().stream()
                .filter(AttemptReceived.class::isInstance)
                .map(AttemptReceived.class::cast)
                .filter(each -> each.firstByteUs() > fromUs && each.firstByteUs() <= toUs)
                .collect(Collectors.groupingBy(AttemptReceived::worker, Collectors.counting()));
    }

    /** Makes discovery forget its changes, so that its next response is a full list. */
    void reportFullList() {
        onLoop(discovery::forgetChanges);
    }

    private SlowStartSettings coldStart() {
        return settings.dispatch().slowStart();
    }

    private void onLoop(Runnable call) {
        CompletableFuture.runAsync(call, loop).orTimeout(MAX_LOOP_WAIT_S, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() {
        stop();
    }

    /**
     * Stops everything, once: clients abandon their requests, the node stops as on SIGTERM, then
     * workers and discovery close.
     */
    public synchronized void stop() {
        if (closed) {
            return;
        }
        closed = true;
        onLoop(clients::abandon);
        try {
            node.stop().get(MAX_STOP_WAIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            node.halt();
        } catch (ExecutionException | TimeoutException e) {
            node.halt();
        }
        onLoop(
                () -> {
                    workers.forEach(WorkerStandIn::close);
                    discovery.close();
                });
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** The time of the fleet's clock, which the observations use, us. */
    public long nowUs() {
        return recorder.nowUs();
    }
}
