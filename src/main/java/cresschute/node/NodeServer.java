package cresschute.node;

import cresschute.control.files.SharedRequestIds;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.flow.MemoryAccount;
import cresschute.logs.LogEvent;
import cresschute.logs.RepeatedTask;
import cresschute.node.http.ClientListener;
import cresschute.node.http.DiscoveryClient;
import cresschute.node.http.WorkerConnectionPool;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * A dispatcher node. Creates its components on one event loop, starts them, reloads them on SIGHUP
 * ({@link ConfigReloader}) and shuts them down on SIGTERM ({@link GracefulShutdown}). Owns the
 * event loop. Started once and stopped once. Call its methods from any thread except the event loop
 * unless stated otherwise.
 */
public final class NodeServer {

    /** The interval at which the status is logged, seconds. */
    private static final long STATUS_INTERVAL_S = 10;

    /** How long clients may not connect because the initial endpoint list is not published, ms. */
    private static final long INITIAL_LIST_WAIT_MS =
            TimeUnit.MICROSECONDS.toMillis(InitialEndpointList.MAX_HOLD_US) + 1_000;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final HeapReserve heapReserve = new HeapReserve();
    private final LoopMonitor loopMonitor = new LoopMonitor();
    private final EventLoopGroup group =
            new NodeEventLoopGroup(
                    ErrorTolerantIoHandler.factory(NioIoHandler.newFactory(), heapReserve),
                    heapReserve,
                    this::loopEnded);
    private final EventLoop loop = group.next();
    private final NodeConfig config;
    private final OperatorServices operators;
    private final MemoryAccount memory;
    private final RequestLifecycle lifecycle;
    private final ClientListener clientListener;
    private final WorkerConnectionPool workers;
    private final StatusLog statusLog;
    private final ConfigReloader reloader;
    private final GracefulShutdown shutdown;

    /** Watches the endpoint list; null if the list is fixed. */
    private final DiscoveryClient discovery;

    /** Exchanges workers' load with peers; null if the settings name no peers. */
    private final PeerLoads peers;

    /** The client listener that the platform passed on, or null if the node binds its own. */
    private final ServerSocketChannel passedListener;

    private volatile boolean exitIfLoopEnds;

    /** Whether the event loop was told to end. */
    private volatile boolean halted;

    /**
     * Creates a node that binds its own listener. It does not listen yet.
     *
     * @param config its configuration
     * @throws NodeStartException if the key for the exchange with peers cannot be used
     */
    public NodeServer(NodeConfig config) {
        this(config, (ServerSocketChannel) null);
    }

    /**
     * Creates a node. It does not accept connections yet.
     *
     * @param config its configuration
     * @param passedListener the client listener that the platform passed on, or null if the node
     *     binds its own
     * @throws NodeStartException if the key for the exchange with peers cannot be used
     */
    public NodeServer(NodeConfig config, ServerSocketChannel passedListener) {
        this(
                config,
                passedListener,
                actions -> new Dispatcher(config.settings(), config.seed(), actions));
    }

    /** Creates a node with a custom dispatcher. */
    NodeServer(NodeConfig config, Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this(config, (ServerSocketChannel) null, dispatcher);
    }

    /**
     * Creates a node with a custom dispatcher on a listener that the platform passed on, or null.
     */
    NodeServer(
            NodeConfig config,
            ServerSocketChannel passedListener,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this.config = config;
        this.passedListener = passedListener;
        final Clock clock = Clock.system();
        final RateLimitedLog faults =
                new RateLimitedLog(System.getLogger("cresschute.fault"), clock);
        final DescriptorBudget descriptors =
                DescriptorBudget.of(config.maxDescriptors(), config.hasManagementService());
        memory = HeapBudget.ofProcess(descriptors).account();
        operators = new OperatorServices(config, loop, clock, descriptors);
        peers = config.peers() == null ? null : createPeers(clock);
        lifecycle =
                new RequestLifecycle(
                        config,
                        loop,
                        clock,
                        faults,
                        operators.requestListener(),
                        peers != null ? peers : LoadTracker.NONE,
                        new RequestIds(memory, openSharedIds(config.operators())),
                        loopMonitor,
                        dispatcher);
        clientListener =
                new ClientListener(
                        loop,
                        lifecycle,
                        config,
                        descriptors.clientConnections(),
                        memory,
                        loopMonitor);
        workers =
                new WorkerConnectionPool(
                        loop,
                        faults,
                        config.timeouts(),
                        descriptors.workerConnections(),
                        config.bodies() != null,
                        memory,
                        loopMonitor);
        discovery = config.discovery() == null ? null : createDiscovery(faults);
        statusLog = new StatusLog(this::status, lifecycle.invariant());
        reloader = new ConfigReloader(config, loop, new ReloadTarget());
        shutdown = new GracefulShutdown(loop, new ShutdownSteps());
    }

    /** Returns the ids that the processes of an upgrade share; null if there are no upgrades. */
    private static SharedRequestIds openSharedIds(OperatorSettings operators) {
        if (operators.sharedFolder() == null
                || !(operators.passedListener() || operators.managementAddress() != null)) {
            return null;
        }
        try {
            return SharedRequestIds.open(Path.of(operators.sharedFolder()));
        } catch (IOException e) {
            LogEvent.of(
                            "request_ids_not_shared",
                            "request ids are not shared with other processes of this node: " + e)
                    .with("detail", String.valueOf(e))
                    .log(LOG, Level.WARNING);
            return null;
        }
    }

    private PeerLoads createPeers(Clock clock) {
        try {
            return new PeerLoads(config, loop, clock);
        } catch (IOException e) {
            halt();
            throw new NodeStartException(
                    "the key in " + config.peers().keyFile() + " cannot be used: " + e.getMessage(),
                    e);
        }
    }

    private DiscoveryClient createDiscovery(RateLimitedLog faults) {
        final DiscoveryClient client =
                new DiscoveryClient(
                        loop,
                        config.discovery(),
                        lifecycle,
                        faults,
                        new SplittableRandom(config.seed()));
        client.applyTimeouts(config.timeouts());
        return client;
    }

    // ---- Start ----

    /**
     * Starts all components.
     *
     * @return the address of the client listener; clients can connect when this method returns
     * @throws NodeStartException if an address or a stored state cannot be used; everything is
     *     closed again before it is thrown
     */
    public SocketAddress start() {
        try {
            return startParts();
        } catch (NodeStartException e) {
            halt();
            operators.close();
            throw e;
        }
    }

    private SocketAddress startParts() {
        // Open before the first endpoint list is published, so that a worker drained by an operator
        // gets no work.
        operators.open(lifecycle, clientListener);
        if (peers != null) {
            peers.onRefresh(lifecycle::loadsRefreshed);
            ListenerBinding.requireBound(
                    peers.listen(config.peers().listen()), "for peers ", config.peers().listen());
        }
        loop.execute(this::beginLoopMonitor);
        loop.execute(
                () ->
                        lifecycle.start(
                                workers,
                                discovery == null ? () -> {} : discovery,
                                config.initialEndpoints()));
        awaitInitialList();
        final ChannelFuture bound = clientListener.listen(group, config.listen(), passedListener);
        ListenerBinding.requireBound(bound, "", config.listen());
        operators.listen();
        loop.scheduleWithFixedDelay(
                new RepeatedTask("status log", statusLog::log),
                STATUS_INTERVAL_S,
                STATUS_INTERVAL_S,
                TimeUnit.SECONDS);
        final SocketAddress address = bound.channel().localAddress();
        LogEvent.of("listening", "node " + config.name() + " listens on " + address)
                .with("node", config.name())
                .with("address", Addresses.format(address))
                .log(LOG, Level.INFO);
        return address;
    }

    private void beginLoopMonitor() {
        loopMonitor.begin();
        loop.scheduleAtFixedRate(
                new RepeatedTask("loop monitor", loopMonitor::tick),
                LoopMonitor.TICK_MS,
                LoopMonitor.TICK_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Waits until clients may connect: their requests need the initial endpoint list. */
    private void awaitInitialList() {
        try {
            lifecycle.initialListPublished().get(INITIAL_LIST_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            // Listen all the same: requests wait for a list.
            return;
        }
    }

    /** Makes the process end with an error if its event loop ends although nobody stopped it. */
    public void exitIfLoopEnds() {
        exitIfLoopEnds = true;
    }

    private void loopEnded(Throwable cause) {
        if (exitIfLoopEnds && !halted) {
            ProcessExit.afterLoopEnded(
                    lifecycle.unanswered() + " requests open; memory: " + memory, cause);
        }
    }

    // ---- Reload ----

    /**
     * Reloads the configuration and applies the parts that can change at run time. An invalid
     * configuration is logged and changes nothing. Reads on the caller's thread.
     *
     * @param source reads the configuration
     */
    public void reload(Callable<NodeConfig> source) {
        reloader.reload(source);
    }

    /** Applies a reload to the components. */
    private final class ReloadTarget implements ConfigReloader.Target {

        /**
         * The figures shown on consoles and the capacity for streamed bodies are kept by class
         * number.
         */
        @Override
        public boolean requiresInitialClasses() {
            return operators.hasControlService() || config.bodies() != null;
        }

        @Override
        public Set<Integer> classesInUse() {
            final Set<Integer> inUse = new HashSet<>(lifecycle.classesInUse());
            inUse.addAll(clientListener.queuedClasses());
            return inUse;
        }

        @Override
        public void setDiscoveryAddress(InetSocketAddress address) {
            discovery.changeAddress(address);
        }

        @Override
        public void applyTimeouts(NodeTimeouts next) {
            workers.applyTimeouts(next);
            if (discovery != null) {
                discovery.applyTimeouts(next);
            }
        }

        @Override
        public void applySettings(ClassTable classes, DispatchSettings settings) {
            lifecycle.applySettings(classes, settings);
            clientListener.applySettings(classes.live(), classes.classes(), settings.tenants());
        }
    }

    // ---- Stop ----

    /**
     * Stops gracefully: accepts connections for a short time, unless the platform passed the
     * listener on, and answers all accepted requests.
     *
     * @return completed when all accepted requests are answered and all resources are closed
     */
    public CompletableFuture<Void> stop() {
        if (group.isShuttingDown()) {
            // The node failed to start or was halted, so no request is open.
            shutdown.stopped().complete(null);
        } else {
            loop.execute(shutdown::begin);
        }
        return shutdown.stopped();
    }

    /** Stops immediately: open requests get no answer. */
    public void halt() {
        halted = true;
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Shuts down the components. */
    private final class ShutdownSteps implements GracefulShutdown.Steps {

        @Override
        public int unanswered() {
            return lifecycle.unanswered();
        }

        @Override
        public int clientConnections() {
            return clientListener.openConnections();
        }

        @Override
        public void becomeNotReady() {
            clientListener.markNotReady();
            operators.notifyStopping();
            lifecycle.publishInitialList();
            if (clientListener.usesPassedSocket()) {
                // The other process of an upgrade accepts on the same listener. It is ready,
                // because the platform stops this process only then. Open connections are served
                // for a short time.
                clientListener.stopListening();
            }
        }

        @Override
        public OptionalLong longestDeadlineUs() {
            return config.isRunByPlatform()
                    ? OptionalLong.of(lifecycle.longestDeadlineUs())
                    : OptionalLong.empty();
        }

        @Override
        public void answerAllAfter(long delayUs) {
            lifecycle.answerAllAfter(delayUs);
        }

        @Override
        public void stopAccepting() {
            clientListener.stopAccepting();
        }

        @Override
        public boolean leavePeers() {
            return peers == null || peers.leave();
        }

        @Override
        public void logStatus() {
            statusLog.log();
        }

        @Override
        public void close(CompletableFuture<Void> closed) {
            operators.closeListener();
            halt();
            if (operators.isEmpty()) {
                closed.complete(null);
                return;
            }
            // Wait for pending writes on a thread other than the event loop.
            group.terminationFuture()
                    .addListener(
                            ended -> {
                                operators.close();
                                closed.complete(null);
                            });
        }
    }

    // ---- State ----

    private StatusLog.Status status() {
        heapReserve.restore();
        return new StatusLog.Status(
                lifecycle.unanswered(),
                clientListener.openConnections(),
                workers.openConnections(),
                clientListener.bodyBytes(),
                clientListener.requestBytes(),
                lifecycle.listVersion(),
                memory.toString(),
                PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory(),
                heapReserve.releases(),
                loopMonitor.takeMaxLagMs());
    }

    /** Returns the CPU time that the event loop has used, nanoseconds. Blocks. */
    public long loopCpuNs() {
        return CompletableFuture.supplyAsync(
                        () -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime(), loop)
                .join();
    }

    /** The number of invariant violations so far; may be slightly out of date. */
    public long invariantBreaches() {
        return lifecycle.invariant().total();
    }

    /** The number of bytes that streamed bodies hold now. Call on the event loop. */
    long bodyBytes() {
        return clientListener.bodyBytes();
    }

    /** The lifecycle of its requests. */
    RequestLifecycle lifecycle() {
        return lifecycle;
    }

    /** The load exchange with peers, or null if the settings name no peers. */
    PeerLoads peers() {
        return peers;
    }

    /**
     * The address that the platform's operators call, valid after the start; null if there is none.
     */
    SocketAddress managementAddress() {
        return operators.managementAddress();
    }

    /** The client listener. */
    ClientListener clientListener() {
        return clientListener;
    }

    /** Its event loop. */
    EventLoop loop() {
        return loop;
    }
}
