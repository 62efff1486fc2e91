package cresschute.node;

import cresschute.DispatchApi.Actions;
import cresschute.DispatchApi.Events;
import cresschute.Logic;
import cresschute.node.http.BackendConnections;
import cresschute.node.http.ClientFront;
import cresschute.node.http.DirectorClient;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A running node: puts its parts together on one loop, starts them and stops them. */
public final class NodeServer {

    /** How long after a stop is asked for clients may still come and send, ms. */
    private static final long STILL_ACCEPTING_MS = 550;
    /** How often the state is looked at for the log, s. */
    private static final long STATUS_S = 10;
    /** Descriptors that are not for clients or backends: the JVM's own, the director's, the listener. */
    private static final int OTHER_SOCKETS = 48;
    /** Clients' part of the rest: their reqs hold up to a third of all, and so may the fetches for these. */
    private static final double CLIENT_PART = 0.55;
    private static final Logger LOG = System.getLogger("cresschute.node");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final NodeConfig config;
    private final Core core;
    private final ClientFront front;
    private final BackendConnections backends;
    private final DirectorClient director;
    private boolean stopping;
    private long breachesLogged;

    /** A node that does not listen yet. */
    public NodeServer(NodeConfig config) {
        this(config, actions -> new Logic(config.settings(), config.seed(), actions));
    }

    NodeServer(NodeConfig config, Function<Actions, Events> module) {
        this.config = config;
        final Clock clock = Clock.system();
        final RateLimitedLog troubles = new RateLimitedLog(System.getLogger("cresschute.trouble"), clock);
        final int sockets = Math.max(2, config.sockets() - OTHER_SOCKETS);
        final int forClients = (int) (sockets * CLIENT_PART);
        core = new Core(config, loop, clock, troubles, module);
        front = new ClientFront(loop, core, config, forClients);
        backends = new BackendConnections(loop, troubles, config.connectTimeoutUs(), config.connIdleUs(),
            sockets - forClients);
        director = new DirectorClient(loop, config.director(), core, troubles);
    }

    /** Starts all of it; returns, with the address, once clients can connect. */
    public SocketAddress start() {
        loop.execute(() -> core.start(backends, director, config.known()));
        final ChannelFuture bound = front.listen(group, config.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            halt();
            throw new IllegalStateException("cannot listen on " + config.listen(), bound.cause());
        }
        loop.scheduleWithFixedDelay(this::logStatus, STATUS_S, STATUS_S, TimeUnit.SECONDS);
        LOG.log(Level.INFO, "node " + config.name() + " listens on " + bound.channel().localAddress());
        return bound.channel().localAddress();
    }

    /** Reads a configuration anew and follows its director; one that cannot be used changes nothing. */
    public void reload(Callable<NodeConfig> source) {
        loop.execute(() -> {
            try {
                final NodeConfig next = source.call();
                director.moveTo(next.director());
                LOG.log(Level.INFO, "reloaded: the director is at " + next.director());
            } catch (Exception e) {
                // Guards against a file that is half written or wrong: what is in force goes on.
                LOG.log(Level.ERROR, "not reloaded, the old configuration stays: " + e.getMessage());
            }
        });
    }

    /** Stops: serves on for a while, then answers all that was taken; done when all of it is answered. */
    public CompletableFuture<Void> stop() {
        loop.execute(() -> {
            if (!stopping) {
                stopping = true;
                LOG.log(Level.INFO, "stopping: " + core.owed() + " reqs are owed an answer");
                front.stopReady();
                loop.schedule(this::stopAccepting, STILL_ACCEPTING_MS, TimeUnit.MILLISECONDS);
            }
        });
        return stopped;
    }

    private void stopAccepting() {
        front.stopAccepting();
        LOG.log(Level.INFO, "no longer accepting: " + core.owed() + " reqs are owed an answer");
        loop.scheduleWithFixedDelay(this::exitIfDone, 0, 20, TimeUnit.MILLISECONDS);
    }

    /** Done once no client has a connection: each is closed when its last answer is written. */
    private void exitIfDone() {
        if (front.open() == 0 && !stopped.isDone()) {
            logStatus();
            LOG.log(Level.INFO, "stopped: everything taken is answered");
            halt();
            stopped.complete(null);
        }
    }

    /** Ends all work at once. */
    void halt() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    Core core() {
        return core;
    }

    EventLoop loop() {
        return loop;
    }

    private void logStatus() {
        LOG.log(Level.INFO, "status: " + core.owed() + " reqs open, " + front.open() + " client and "
            + backends.opened() + " backend connections, list version " + core.listVersion());
        if (core.invariant().total() > breachesLogged) {
            breachesLogged = core.invariant().total();
            LOG.log(Level.ERROR, "invariants broken so far: " + core.invariant());
        }
    }
}
