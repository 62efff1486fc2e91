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
import io.netty.util.NetUtil;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A running node: puts its parts together on one loop, starts them and stops them. */
public final class NodeServer {

    /** How long after a stop is asked for clients may still come and send, ms. */
    private static final long ACCEPT_GRACE_MS = 550;

    /**
     * When a stopping node may be killed: after its longest deadline, of which so much counts at
     * the most, and so much more, us ("The figures" of the platform's protocol). All is answered so
     * long before that.
     */
    private static final long MAX_DEADLINE_US = 3_000_000;

    private static final long TO_END_US = 700_000;
    private static final long BEFORE_END_US = 250_000;

    /** How often a stopping node tells what is still owed, ms. */
    private static final long SHUTDOWN_ANSWER_MS = 500;

    /** How often the state is looked at for the log, s. */
    private static final long STATUS_S = 10;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final NodeConfig config;
    private final RequestLifecycle core;
    private final ClientListener front;
    private final WorkerConnectionPool workerClient;
    private final DiscoveryClient discovery;

    /** The operator's place, or null where nobody can connect. */
    private final ControlService controlService;

    /** The platform operators' place, or null where they do not call. */
    private final ManagementService operators;

    /** Workers' load as peers announce it, or null where the settings name no peers. */
    private final PeerLoads peers;

    /** The platform's listener, or null. */
    private final ServerSocketChannel passed;

    private boolean stopping;
    private long breachesLogged;
    private long unansweredAtMs;

    /** The classes since the start, and the settings that the module was told last. */
    private ClassTable classTable;

    private DispatchSettings told;

    /** A node that does not listen yet. */
    public NodeServer(NodeConfig config) {
        this(config, (ServerSocketChannel) null);
    }

    /**
     * A node that does not accept yet.
     *
     * @param passed the clients' listener as the platform passed it on, or null where the node
     *     binds its own
     */
    public NodeServer(NodeConfig config, ServerSocketChannel passed) {
        this(config, passed, actions -> new Dispatcher(config.settings(), config.seed(), actions));
    }

    NodeServer(NodeConfig config, Function<DispatcherActions, DispatcherEvents> module) {
        this(config, (ServerSocketChannel) null, module);
    }

    NodeServer(
            NodeConfig config,
            ServerSocketChannel passed,
            Function<DispatcherActions, DispatcherEvents> module) {
        this.config = config;
        this.passed = passed;
        this.classTable = ClassTable.of(config.classes(), config.settings().classes());
        this.told = config.settings();
        final Clock clock = Clock.system();
        final RateLimitedLog faults =
                new RateLimitedLog(System.getLogger("cresschute.trouble"), clock);
        controlService =
                config.hasControlService() ? new ControlService(config, loop, clock) : null;
        final boolean hasManagement =
                controlService == null && config.operators().management() != null;
        final DescriptorBudget shares = DescriptorBudget.of(config.sockets(), hasManagement);
        operators =
                hasManagement
                        ? new ManagementService(config, loop, shares.managementCalls())
                        : null;
        peers = config.peers() == null ? null : connectPeers(clock);
        core =
                new RequestLifecycle(
                        config,
                        loop,
                        clock,
                        faults,
                        controlService != null
                                ? controlService
                                : operators != null ? operators : RequestListener.NONE,
                        peers != null ? peers : LoadKnowledge.NONE,
                        module);
        front = new ClientListener(loop, core, config, shares.clientConnections());
        workerClient =
                new WorkerConnectionPool(
                        loop,
                        faults,
                        config.connectTimeoutUs(),
                        config.connIdleUs(),
                        shares.workerConnections(),
                        config.bodies() != null);
        discovery =
                config.discovery() == null
                        ? null
                        : new DiscoveryClient(
                                loop,
                                config.discovery(),
                                core,
                                faults,
                                new SplittableRandom(config.seed()));
    }

    private PeerLoads connectPeers(Clock clock) {
        try {
            return new PeerLoads(config, loop, clock);
        } catch (IOException e) {
            halt();
            throw new IllegalStateException(
                    "the key in " + config.peers().keyFile() + " cannot be used: " + e.getMessage(),
                    e);
        }
    }

    private void listenToPeers() {
        final ChannelFuture bound = peers.listen(config.peers().listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            halt();
            closeControlService();
            throw new IllegalStateException(
                    "cannot listen for peers on "
                            + text(config.peers().listen())
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
    }

    /** Starts all of it; returns, with the address, once clients can connect. */
    public SocketAddress start() {
        openControlService();
        if (peers != null) {
            peers.onRefresh(core::loadsRefreshed);
            listenToPeers();
        }
        loop.execute(
                () ->
                        core.start(
                                workerClient,
                                discovery == null ? () -> {} : discovery,
                                config.known()));
        final ChannelFuture bound =
                front.listen(group, config.listen(), passed).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            halt();
            closeControlService();
            throw new IllegalStateException(
                    "cannot listen on " + text(config.listen()) + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        if (controlService != null) {
            try {
                controlService.listen();
            } catch (IOException e) {
                halt();
                closeControlService();
                throw new IllegalStateException(e.getMessage(), e);
            }
        }
        if (operators != null) {
            final ChannelFuture called = operators.listen().awaitUninterruptibly();
            if (!called.isSuccess()) {
                halt();
                closeControlService();
                throw new IllegalStateException(
                        "cannot listen for operators on "
                                + text(config.operators().management())
                                + ": "
                                + called.cause().getMessage(),
                        called.cause());
            }
            LogEvent.of(
                            "management_listening",
                            "operators call at " + called.channel().localAddress())
                    .with("address", text(called.channel().localAddress()))
                    .log(LOG, Level.INFO);
        }
        loop.scheduleWithFixedDelay(this::logStatus, STATUS_S, STATUS_S, TimeUnit.SECONDS);
        LogEvent.of(
                        "listening",
                        "node " + config.name() + " listens on " + bound.channel().localAddress())
                .with("node", config.name())
                .with("address", text(bound.channel().localAddress()))
                .log(LOG, Level.INFO);
        return bound.channel().localAddress();
    }

    /** Before the first list is told: no worker that an operator drained gets work at a start. */
    private void openControlService() {
        if (operators != null) {
            try {
                operators.open(core, front);
            } catch (IOException e) {
                halt();
                throw new IllegalStateException(
                        "the operators' state in "
                                + config.operators().shared()
                                + " cannot be used: "
                                + e.getMessage(),
                        e);
            }
        }
        if (controlService == null) {
            return;
        }
        try {
            controlService.open(core);
        } catch (IOException e) {
            halt();
            closeControlService();
            throw new IllegalStateException(
                    "the state folder "
                            + config.stateFolder()
                            + " cannot be used: "
                            + e.getMessage(),
                    e);
        }
    }

    private void closeControlService() {
        if (controlService != null) {
            controlService.close();
        }
        if (operators != null) {
            operators.close();
        }
    }

    /**
     * Reads a configuration anew and follows its discovery; one that cannot be used changes
     * nothing. The reading is done on the caller's thread, for it may take a while; the loop is
     * handed what was read.
     */
    public synchronized void reload(Callable<NodeConfig> source) {
        try {
            final NodeConfig next = source.call();
            final List<String> missing = config.missingIn(next);
            if (!missing.isEmpty()) {
                throw new ConfigException(
                        "the file lacks what the first one had: "
                                + String.join(", ", missing.subList(0, Math.min(5, missing.size())))
                                + (missing.size() > 5 ? ", ..." : ""));
            }
            loop.execute(() -> follow(next));
        } catch (Exception e) {
            // Guards against a file that is half written or wrong: what is in force goes on.
            LogEvent.of(
                            "reload_refused",
                            "not reloaded, the old configuration stays: " + e.getMessage())
                    .with("detail", e.getMessage())
                    .log(LOG, Level.ERROR);
        }
    }

    private void follow(NodeConfig next) {
        if (discovery != null && next.discovery() != null) {
            discovery.moveTo(next.discovery());
        }
        final String where =
                discovery == null
                        ? "the list of workers is fixed"
                        : "the director is at "
                                + text(
                                        next.discovery() == null
                                                ? config.discovery()
                                                : next.discovery());
        // Told so that nobody takes a change for made that only the next start makes.
        final List<String> held = new ArrayList<>(config.partsHeldUntilRestart(next));
        final String retuned = applySettings(next, held);
        LogEvent.of(
                        "reloaded",
                        "reloaded: "
                                + where
                                + retuned
                                + (held.isEmpty()
                                        ? ""
                                        : "; changed, but in force from the next start only: "
                                                + String.join(", ", held)))
                .with("held", String.join(",", held))
                .with("classes", String.join(",", classTable.live().keySet()))
                .log(LOG, Level.INFO);
    }

    /**
     * Takes the classes and the module's settings of a new configuration, where a running node can:
     * requests under way keep their class, and new ones are read by the new classes from this turn
     * on. What cannot be taken is added to {@code held}. Says what changed, for the log.
     */
    private String applySettings(NodeConfig next, List<String> held) {
        workerClient.applySettings(next.connectTimeoutUs(), next.connIdleUs());
        final DispatchSettings now = told;
        final DispatchSettings wanted = next.settings();
        if (wanted.zone() != now.zone()
                || wanted.zones() != now.zones()
                || wanted.kinds() != now.kinds()
                || !next.zones().equals(config.zones())
                || !next.kinds().equals(config.kinds())) {
            held.add("zones and kinds");
            return "";
        }
        final ClassTable table;
        try {
            table = classTable.updatedWith(next.classes(), wanted.classes());
        } catch (IllegalArgumentException e) {
            held.add("classes (" + e.getMessage() + ")");
            return "";
        }
        final boolean classesChange = !table.isSameAs(classTable);
        if (classesChange && (controlService != null || config.bodies() != null)) {
            // A console's figures and the room for long bodies are counted by the classes of the
            // start.
            held.add("classes");
            return "";
        }
        final DispatchSettings retold = table.settingsFor(wanted, now);
        if (!classesChange && retold.equals(now) || !retold.canReplace(now)) {
            return "";
        }
        final String changes = table.changesFrom(classTable);
        classTable = table;
        told = retold;
        core.applySettings(table.names(), retold);
        front.applySettings(table.live(), table.classes(), retold.tenants());
        return "; settings in force"
                + (changes.isEmpty() ? "" : ", classes " + changes)
                + (retold.limits().equals(now.limits())
                        ? ""
                        : ", attempts at most " + retold.limits().maxAttempts());
    }

    private static String text(SocketAddress address) {
        return address instanceof InetSocketAddress ip && !ip.isUnresolved()
                ? NetUtil.toSocketAddressString(ip)
                : String.valueOf(address);
    }

    /**
     * Stops: serves on for a while, then answers all that was taken; done when all of it is
     * answered.
     */
    public CompletableFuture<Void> stop() {
        if (group.isShuttingDown()) {
            // It could not be started: nothing was taken.
            stopped.complete(null);
            return stopped;
        }
        loop.execute(
                () -> {
                    if (!stopping) {
                        stopping = true;
                        LogEvent.of(
                                        "stopping",
                                        "stopping: "
                                                + core.unanswered()
                                                + " reqs are owed an answer")
                                .with("count", core.unanswered())
                                .log(LOG, Level.INFO);
                        front.markNotReady();
                        if (controlService != null) {
                            controlService.stopping();
                        }
                        if (front.isPassed()) {
                            // The other process of an upgrade accepts on the same listener: it has
                            // said that it is
                            // ready, or nobody would stop this one. What is open here is still used
                            // for a while.
                            front.stopListening();
                        }
                        loop.schedule(this::stopAccepting, ACCEPT_GRACE_MS, TimeUnit.MILLISECONDS);
                        if (config.isOfThePlatform()) {
                            core.answerAllAfter(
                                    Math.min(core.longestDeadlineUs(), MAX_DEADLINE_US)
                                            + TO_END_US
                                            - BEFORE_END_US);
                        }
                    }
                });
        return stopped;
    }

    private void stopAccepting() {
        front.stopAccepting();
        LogEvent.of(
                        "not_accepting",
                        "no longer accepting: " + core.unanswered() + " reqs are owed an answer")
                .with("count", core.unanswered())
                .log(LOG, Level.INFO);
        loop.scheduleWithFixedDelay(this::exitIfDone, 0, 20, TimeUnit.MILLISECONDS);
    }

    /** Done once no client has a connection: each is closed when its last answer is written. */
    private void exitIfDone() {
        final long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (front.openConnections() > 0 && nowMs >= unansweredAtMs) {
            // What a kill would cut off, told while there is time: the last such line is what it
            // cut.
            unansweredAtMs = nowMs + SHUTDOWN_ANSWER_MS;
            LogEvent.of(
                            "still_owed",
                            "stopping: "
                                    + core.unanswered()
                                    + " reqs are still owed an answer, "
                                    + front.openConnections()
                                    + " client connections open")
                    .with("count", core.unanswered())
                    .with("client_connections", front.openConnections())
                    .log(LOG, Level.INFO);
        }
        if (front.openConnections() == 0 && !stopped.isDone() && (peers == null || peers.leave())) {
            logStatus();
            LogEvent.of("stopped", "stopped: everything taken is answered").log(LOG, Level.INFO);
            if (controlService != null) {
                controlService.closeSocket();
            }
            if (operators != null) {
                operators.closeServer();
            }
            halt();
            if (controlService == null && operators == null) {
                stopped.complete(null);
            } else {
                // What is still being written is waited for elsewhere than on the loop.
                group.terminationFuture()
                        .addListener(
                                ended -> {
                                    closeControlService();
                                    stopped.complete(null);
                                });
            }
        }
    }

    /**
     * CPU time that the loop has used, ns, by which the lab measures; blocks, so not on the loop.
     */
    public long loopCpuNs() {
        return CompletableFuture.supplyAsync(
                        () -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime(), loop)
                .join();
    }

    /** How often something did not hold that must; any thread, and a moment old. */
    public long invariantBreaches() {
        return core.invariant().total();
    }

    /** Ends all work at once: what is owed an answer gets none. */
    public void halt() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Bytes that long bodies hold now; on the loop. */
    long bodyBytes() {
        return front.bodyBytes();
    }

    RequestLifecycle core() {
        return core;
    }

    /** The exchange with peers, or null where the settings name none. */
    PeerLoads peers() {
        return peers;
    }

    /** Where operators call, once started; null where they do not. */
    SocketAddress managementAddress() {
        return operators == null ? null : operators.address();
    }

    ClientListener front() {
        return front;
    }

    EventLoop loop() {
        return loop;
    }

    private void logStatus() {
        LogEvent.of(
                        "status",
                        "status: "
                                + core.unanswered()
                                + " reqs open, "
                                + front.openConnections()
                                + " client and "
                                + workerClient.openConnections()
                                + " backend connections, "
                                + front.bodyBytes()
                                + " bytes of long bodies, list version "
                                + core.listVersion())
                .with("reqs", core.unanswered())
                .with("client_connections", front.openConnections())
                .with("backend_connections", workerClient.openConnections())
                .with("body_bytes", front.bodyBytes())
                .with("list_version", core.listVersion())
                .log(LOG, Level.INFO);
        if (core.invariant().total() > breachesLogged) {
            breachesLogged = core.invariant().total();
            LogEvent.of("invariants_broken", "invariants broken so far: " + core.invariant())
                    .with("count", breachesLogged)
                    .with("names", core.invariant())
                    .log(LOG, Level.ERROR);
        }
    }
}
