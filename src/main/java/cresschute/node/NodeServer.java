package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.logs.LogEvent;
import cresschute.node.http.ClientListener;
import cresschute.node.http.DiscoveryClient;
import cresschute.node.http.WorkerConnectionPool;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A node: creates its parts on one event loop, starts them, reloads them at SIGHUP ({@link
 * ConfigReloader}) and shuts them down at SIGTERM ({@link GracefulShutdown}). Owns the event loop.
 * Started once and stopped once; its methods may be called from any thread but the event loop's,
 * save where stated.
 */
public final class NodeServer {

    /** How often the status is logged, seconds. */
    private static final long STATUS_INTERVAL_S = 10;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final NodeConfig config;
    private final OperatorServices operators;
    private final RequestLifecycle lifecycle;
    private final ClientListener clientListener;
    private final WorkerConnectionPool workers;
    private final StatusLog statusLog;
    private final ConfigReloader reloader;
    private final GracefulShutdown shutdown;

    /** Watches the endpoint list, or null where it is fixed. */
    private final DiscoveryClient discovery;

    /** Exchanges workers' load with peers, or null where the settings name none. */
    private final PeerLoads peers;

    /** The clients' listener that the platform passed on, or null. */
    private final ServerSocketChannel passed;

    /**
     * A node that binds its own listener, and does not listen yet.
     *
     * @param config its configuration
     * @throws NodeStartException if the key for the exchange with peers cannot be used
     */
    public NodeServer(NodeConfig config) {
        this(config, (ServerSocketChannel) null);
    }

    /**
     * A node that does not accept yet.
     *
     * @param config its configuration
     * @param passed the clients' listener as the platform passed it on, or null where the node
     *     binds its own
     * @throws NodeStartException if the key for the exchange with peers cannot be used
     */
    public NodeServer(NodeConfig config, ServerSocketChannel passed) {
        this(config, passed, actions -> new Dispatcher(config.settings(), config.seed(), actions));
    }

    /** A node with a dispatcher of the caller's. */
    NodeServer(NodeConfig config, Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this(config, (ServerSocketChannel) null, dispatcher);
    }

    /** The same, on a listener that the platform passed on, or null. */
    NodeServer(
            NodeConfig config,
            ServerSocketChannel passed,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this.config = config;
        this.passed = passed;
        final Clock clock = Clock.system();
        final RateLimitedLog faults =
                new RateLimitedLog(System.getLogger("cresschute.fault"), clock);
        final DescriptorBudget descriptors =
                DescriptorBudget.of(config.sockets(), config.hasManagementService());
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
                        dispatcher);
        clientListener =
                new ClientListener(loop, lifecycle, config, descriptors.clientConnections());
        workers =
                new WorkerConnectionPool(
                        loop,
                        faults,
                        config.connectTimeoutUs(),
                        config.connIdleUs(),
                        descriptors.workerConnections(),
                        config.bodies() != null);
        discovery = config.discovery() == null ? null : createDiscovery(faults);
        statusLog = new StatusLog(this::status, lifecycle.invariant());
        reloader = new ConfigReloader(config, loop, new ReloadTarget());
        shutdown = new GracefulShutdown(loop, new ShutdownSteps());
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
        return new DiscoveryClient(
                loop, config.discovery(), lifecycle, faults, new SplittableRandom(config.seed()));
    }

    // ---- Start ----

    /**
     * Starts all parts.
     *
     * @return where clients can connect, which they can from now on
     * @throws NodeStartException if an address or a stored state cannot be used; all is closed then
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
        // Before the first endpoint list: a worker that an operator drained gets no work.
        operators.open(lifecycle, clientListener);
        if (peers != null) {
            peers.onRefresh(lifecycle::loadsRefreshed);
            requireBound(
                    peers.listen(config.peers().listen()), "for peers ", config.peers().listen());
        }
        loop.execute(
                () ->
                        lifecycle.start(
                                workers, discovery == null ? () -> {} : discovery, config.known()));
        final ChannelFuture bound = clientListener.listen(group, config.listen(), passed);
        requireBound(bound, "", config.listen());
        operators.listen();
        loop.scheduleWithFixedDelay(
                statusLog::log, STATUS_INTERVAL_S, STATUS_INTERVAL_S, TimeUnit.SECONDS);
        final SocketAddress address = bound.channel().localAddress();
        LogEvent.of("listening", "node " + config.name() + " listens on " + address)
                .with("node", config.name())
                .with("address", Addresses.format(address))
                .log(LOG, Level.INFO);
        return address;
    }

    private static void requireBound(ChannelFuture bound, String whom, InetSocketAddress address) {
        if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new NodeStartException(
                    "cannot listen "
                            + whom
                            + "on "
                            + Addresses.format(address)
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
    }

    // ---- Reload ----

    /**
     * Reads a configuration again and puts in force what a running node can take; one that cannot
     * be used is logged and changes nothing. The reading is done on the caller's thread.
     *
     * @param source reads the configuration
     */
    public void reload(Callable<NodeConfig> source) {
        reloader.reload(source);
    }

    /** Applies a reload to the parts. */
    private final class ReloadTarget implements ConfigReloader.Target {

        /** Consoles' figures and the capacity for long bodies are counted by class number. */
        @Override
        public boolean keepsClasses() {
            return operators.hasControlService() || config.bodies() != null;
        }

        @Override
        public void moveDiscovery(InetSocketAddress address) {
            discovery.changeAddress(address);
        }

        @Override
        public void applyConnectionTimes(NodeConfig next) {
            workers.applySettings(next.connectTimeoutUs(), next.connIdleUs());
        }

        @Override
        public void applySettings(ClassTable classes, DispatchSettings settings) {
            lifecycle.applySettings(classes.names(), settings);
            clientListener.applySettings(classes.live(), classes.classes(), settings.tenants());
        }
    }

    // ---- Stop ----

    /**
     * Stops gracefully: accepts for a while longer, unless the platform passed the listener on, and
     * answers all that was taken.
     *
     * @return completed once all of it is answered and closed
     */
    public CompletableFuture<Void> stop() {
        if (group.isShuttingDown()) {
            // It could not be started, or was halted: nothing is owed.
            shutdown.stopped().complete(null);
        } else {
            loop.execute(shutdown::begin);
        }
        return shutdown.stopped();
    }

    /** Ends all work at once: what is owed an answer gets none. */
    public void halt() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Shuts down the parts. */
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
            if (clientListener.usesPassedSocket()) {
                // The other process of an upgrade accepts on the same listener: it is ready, or
                // nobody would stop this one. Open connections are served for a while longer.
                clientListener.stopListening();
            }
        }

        @Override
        public OptionalLong longestDeadlineUs() {
            return config.isOfThePlatform()
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
            // What is still being written is waited for on another thread than the event loop.
            group.terminationFuture()
                    .addListener(
                            ended -> {
                                operators.close();
                                closed.complete(null);
                            });
        }
    }

    // ---- What it holds ----

    private StatusLog.Status status() {
        return new StatusLog.Status(
                lifecycle.unanswered(),
                clientListener.openConnections(),
                workers.openConnections(),
                clientListener.bodyBytes(),
                lifecycle.listVersion());
    }

    /** CPU time that the event loop has used, nanoseconds; blocks. */
    public long loopCpuNs() {
        return CompletableFuture.supplyAsync(
                        () -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime(), loop)
                .join();
    }

    /** How many invariants were broken so far; may be a moment old. */
    public long invariantBreaches() {
        return lifecycle.invariant().total();
    }

    /** Bytes that long bodies hold now. Call from the event loop. */
    long bodyBytes() {
        return clientListener.bodyBytes();
    }

    /** The life cycle of its requests. */
    RequestLifecycle lifecycle() {
        return lifecycle;
    }

    /** The exchange with peers, or null where the settings name none. */
    PeerLoads peers() {
        return peers;
    }

    /** Where the platform's operators call, once started; null where they do not. */
    SocketAddress managementAddress() {
        return operators.managementAddress();
    }

    /** The listener for its clients. */
    ClientListener clientListener() {
        return clientListener;
    }

    /** Its event loop. */
    EventLoop loop() {
        return loop;
    }
}
