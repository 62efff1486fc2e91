package cresschute.node.http;

import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Tenant;
import cresschute.flow.MemoryAccount;
import cresschute.logs.RepeatedTask;
import cresschute.node.LoopMonitor;
import cresschute.node.NodeConfig;
import cresschute.node.PeerFault;
import cresschute.node.ReadinessSwitch;
import cresschute.node.RequestLifecycle;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The listener for clients over HTTP/1.1: accepts connections, answers whether the node is ready,
 * and closes connections during a drain and a shutdown.
 *
 * <p>Life cycle: create, {@link #listen}, then any number of {@link #drain} and {@link #resume}; at
 * shutdown {@link #markNotReady}, {@link #stopListening} and {@link #closeIdle}. Owns the listening
 * channel, the parser for the current settings and the memory of queued requests and of streamed
 * bodies; {@link ClientConnectionRegistry} owns the connections. Call all methods except {@link
 * #listen} from the event loop.
 */
public final class ClientListener implements ReadinessSwitch {

    private static final int BACKLOG = 1024;

    /** The number of connections that Netty accepts in one read of a listening channel. */
    private static final int ACCEPTED_PER_READ = 16;

    /** The memory that the queued requests of all connections may take together, bytes. */
    private static final int MAX_QUEUED_BYTES = 2 << 20;

    private static final long SWEEP_MS = 250;

    /**
     * The time from the start of a drain until connections are closed, ms. The platform checks
     * readiness every 100 ms and stops sending new connections 200 ms after the node reports not
     * ready. A client whose connection is closed earlier may reconnect to this node at once.
     */
    static final long DRAIN_GRACE_MS = 500;

    private final EventLoop loop;
    private final RequestLifecycle lifecycle;
    private final ClientConnectionRegistry connections;

    /** Null if no class streams bodies. */
    private final StreamedBodies bodies;

    private final RequestMemory requestMemory;
    private final LoopMonitor monitor;
    private final MemoryQuota queuedMemory = new MemoryQuota(MAX_QUEUED_BYTES);
    private RequestHeadParser parser;
    private Channel serverChannel;

    /**
     * Whether the platform passed the listening socket to this process, which then never closes it.
     */
    private boolean hasPassedSocket;

    private boolean notReady;
    private boolean stoppedListening;
    private boolean draining;

    /** The number of drains so far, so that a timer acts only for the drain that started it. */
    private int drainCount;

    /** Whether a drain now closes connections after their responses. */
    private boolean closingForDrain;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param maxConnections the maximum number of open connections
     * @param memory accounts for requests and responses
     * @param monitor told what the loop spends time on
     */
    public ClientListener(
            EventLoop loop,
            RequestLifecycle lifecycle,
            NodeConfig config,
            int maxConnections,
            MemoryAccount memory,
            LoopMonitor monitor) {
        this.loop = loop;
        this.monitor = monitor;
        this.requestMemory = new RequestMemory(memory);
        this.lifecycle = lifecycle;
        this.connections = new ClientConnectionRegistry(loop, this, maxConnections);
        this.bodies =
                config.bodies() == null ? null : new StreamedBodies(config.bodies(), lifecycle);
        applySettings(
                numbersByName(config.classes()),
                config.settings().classes(),
                config.settings().tenants());
    }

    private static Map<String, Integer> numbersByName(List<String> classNames) {
        final Map<String, Integer> numbers = new HashMap<>();
        classNames.forEach(name -> numbers.put(name, numbers.size()));
        return numbers;
    }

    /**
     * Uses these settings to parse requests from now on.
     *
     * @param live the number of each class that accepts new requests, by class name
     * @param classes all classes by number
     * @param tenants the tenants; empty if there are no quotas
     */
    public void applySettings(
            Map<String, Integer> live, List<RequestClass> classes, List<Tenant> tenants) {
        parser = new RequestHeadParser(live, classes, tenants);
    }

    // ---- Listening ----

    /** Listens on this address only. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress addr) {
        return listen(group, addr, null);
    }

    /**
     * Listens on this address only, or accepts connections on a socket that the platform holds and
     * passed to this process.
     *
     * @param passedSocket a bound, listening socket that is shared with the other process of an
     *     upgrade; or null
     */
    public ChannelFuture listen(
            EventLoopGroup group, InetSocketAddress addr, ServerSocketChannel passedSocket) {
        loop.scheduleWithFixedDelay(
                new RepeatedTask("client connections", this::sweep),
                SWEEP_MS,
                SWEEP_MS,
                TimeUnit.MILLISECONDS);
        hasPassedSocket = passedSocket != null;
        final ServerBootstrap bootstrap = new ServerBootstrap().group(group);
        if (hasPassedSocket) {
            bootstrap.channelFactory(() -> new NioServerSocketChannel(passedSocket));
        } else {
            bootstrap
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG);
        }
        bootstrap
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        bodies != null
                                ? StreamedBody.boundedReads()
                                : new BoundedReads(
                                        ns -> monitor.spent(LoopMonitor.Activity.CLIENT_READS, ns)))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                addHandlers(channel);
                            }
                        });
        // A passed socket is already bound, so it only has to be registered with the event loop.
        final ChannelFuture bound = hasPassedSocket ? bootstrap.register() : bootstrap.bind(addr);
        serverChannel = bound.channel();
        return bound;
    }

    private void addHandlers(Channel channel) {
        final ClientRequestDecoder decoder = new ClientRequestDecoder();
        final ClientConnection connection = new ClientConnection(this, decoder);
        final PacedOutput output = new PacedOutput(connection::outputTaken);
        connection.setOutput(output);
        channel.pipeline().addLast(output, decoder, new HttpResponseEncoder(), connection);
    }

    /**
     * Closes connections whose client takes too long, and aborts streamed bodies that are too slow.
     */
    private void sweep() {
        if (bodies != null) {
            bodies.sweep();
        }
        connections.sweep();
    }

    Channel serverChannel() {
        return serverChannel;
    }

    /** Whether the platform passed the listening socket and holds it during an upgrade. */
    public boolean usesPassedSocket() {
        return hasPassedSocket;
    }

    /** The number of open client connections. */
    public int openConnections() {
        return connections.size();
    }

    ClientConnectionRegistry connections() {
        return connections;
    }

    // ---- Shutdown ----

    /** Answers readiness checks with not ready from now on; requests are still served. */
    public void markNotReady() {
        notReady = true;
    }

    /** Stops accepting connections, and closes each open one once it is idle. */
    public void stopAccepting() {
        stopListening();
        closeIdle();
    }

    /**
     * Stops accepting connections; each open one is closed after its next response. A passed socket
     * stays open, as the other process of an upgrade accepts on it: connections wait in its
     * backlog, and none is refused.
     */
    public void stopListening() {
        stoppedListening = true;
        if (serverChannel == null) {
            return;
        }
        if (hasPassedSocket) {
            // Deregisters the socket from this loop's selector, so that it is not closed when the
            // loop ends.
            serverChannel.config().setAutoRead(false);
            serverChannel.deregister();
        } else {
            acceptBacklog();
            serverChannel.close();
        }
    }

    /** Accepts the connections in the backlog: closing the socket would reset them. */
    private void acceptBacklog() {
        for (int accepted = 0;
                accepted < BACKLOG && !serverChannel.eventLoop().isShuttingDown();
                accepted += ACCEPTED_PER_READ) {
            SocketReads.readNow(serverChannel);
        }
    }

    /** Closes the connections that are idle. */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Whether the listener has stopped accepting connections. */
    boolean isStoppedListening() {
        return stoppedListening;
    }

    /** Whether each connection is closed after its next response. */
    boolean isClosing() {
        return stoppedListening || closingForDrain;
    }

    // ---- Readiness ----

    /**
     * Answers readiness checks with not ready from now on. {@value #DRAIN_GRACE_MS} ms later,
     * closes idle connections, and closes each other connection after its next response. New
     * connections are still accepted and treated the same way.
     */
    @Override
    public void drain() {
        if (draining) {
            return;
        }
        draining = true;
        final int drain = ++drainCount;
        loop.schedule(
                () -> {
                    if (draining && drain == drainCount) {
                        closingForDrain = true;
                        closeIdle();
                    }
                },
                DRAIN_GRACE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Ends a drain: the node is ready again and keeps connections open. */
    @Override
    public void resume() {
        draining = false;
        closingForDrain = false;
    }

    /**
     * Whether readiness checks are answered with ready: a worker is known, and the node neither
     * shuts down nor drains.
     */
    @Override
    public boolean isReady() {
        return !notReady && !draining && lifecycle.isReady();
    }

    /** A short reason why the node is not ready. */
    @Override
    public String whyNotReady() {
        if (notReady) {
            return "stopping";
        }
        if (draining) {
            return "drained by an operator";
        }
        return lifecycle.isReady() ? "ready" : "no worker is known yet";
    }

    // ---- Used by connections ----

    RequestLifecycle lifecycle() {
        return lifecycle;
    }

    /** The numbers of the classes of requests that are read and not submitted yet. */
    public Set<Integer> queuedClasses() {
        return connections.queuedClasses();
    }

    /** The parser for the current settings. */
    RequestHeadParser parser() {
        return parser;
    }

    /** The streamed bodies, or null if no class streams any. */
    StreamedBodies bodies() {
        return bodies;
    }

    /** The maximum body size over all classes, bytes. */
    long maxBodyBytes() {
        return bodies == null ? RequestBodyBuffer.MAX_BYTES : bodies.maxBytes();
    }

    /** The maximum body size of a class, bytes. */
    long maxBodyBytes(int requestClass) {
        return bodies == null
                ? RequestBodyBuffer.MAX_BYTES
                : bodies.limits(requestClass).maxBodyBytes();
    }

    /** Whether the results of a class may be streamed. */
    boolean allowsStreamedResults(int requestClass) {
        return bodies != null && bodies.limits(requestClass).streamsResults();
    }

    /** The memory of the queued requests of all connections. */
    MemoryQuota queuedMemory() {
        return queuedMemory;
    }

    /** The memory of the requests of all connections. */
    RequestMemory requestMemory() {
        return requestMemory;
    }

    /** The bytes that the requests of all connections take; excludes streamed bodies. */
    public long requestBytes() {
        return requestMemory.inUseBytes();
    }

    /** Logs that the memory for requests does not suffice, and what follows from that. */
    void reportMemoryExceeded(String consequence) {
        lifecycle.faults().fault(PeerFault.REQUEST_MEMORY_EXCEEDED, null, consequence);
    }

    /** The bytes of the buffer budget that streamed bodies use or have reserved. */
    public long bodyBytes() {
        return bodies == null ? 0 : bodies.inUseBytes();
    }
}
