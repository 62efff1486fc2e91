package cresschute.node.http;

import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Tenant;
import cresschute.node.NodeConfig;
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
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The listener for clients over HTTP/1.1: accepts connections, says whether the node is ready, and
 * closes connections at a drain and at a shutdown.
 *
 * <p>Life cycle: created, {@link #listen}, then any number of {@link #drain} and {@link #resume},
 * at a shutdown {@link #markNotReady}, {@link #stopListening} and {@link #closeIdle}. Owns the
 * listening channel, the parser of the settings in force and the memory of queued requests and of
 * streamed bodies; the connections are {@link ClientConnectionRegistry}'s. Call from the event
 * loop, but for {@link #listen}.
 */
public final class ClientListener implements ReadinessSwitch {

    private static final int BACKLOG = 1024;

    /** Connections that Netty accepts in one read of a listening channel. */
    private static final int ACCEPTED_PER_READ = 16;

    /** What queued requests of all connections together may take, bytes. */
    private static final int MAX_QUEUED_BYTES = 2 << 20;

    private static final long SWEEP_MS = 250;

    /**
     * How long after a drain connections begin to be closed, ms. The platform checks every 100 ms
     * whether the node is ready and sends no new connections 200 ms after a no: a connection closed
     * before that may be opened here again at once.
     */
    static final long DRAIN_GRACE_MS = 500;

    private final EventLoop loop;
    private final RequestLifecycle lifecycle;
    private final ClientConnectionRegistry connections;

    /** Null where no class streams bodies. */
    private final StreamedBodies bodies;

    private RequestHeadParser parser;
    private Channel serverChannel;

    /** Whether the listening socket is the platform's, which is never closed here. */
    private boolean hasPassedSocket;

    private boolean notReady;
    private boolean stoppedListening;
    private int queuedBytes;
    private boolean draining;

    /** Drains so far: a timer acts for its own drain alone. */
    private int drainCount;

    /** Whether connections are closed after their responses because of a drain. */
    private boolean closingForDrain;

    /**
     * A listener that does not listen yet.
     *
     * @param maxConnections connections that may be open at a time
     */
    public ClientListener(
            EventLoop loop, RequestLifecycle lifecycle, NodeConfig config, int maxConnections) {
        this.loop = loop;
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
     * Parses requests by these settings from now on.
     *
     * @param live the number of each class that new requests may be of, by name
     * @param classes all classes by number
     * @param tenants the tenants; empty where there are no quotas
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
     * Listens on this address only, or accepts on a socket that the platform holds and passed on.
     *
     * @param passedSocket bound and listening already, or null; it is shared with the other process
     *     of an upgrade
     */
    public ChannelFuture listen(
            EventLoopGroup group, InetSocketAddress addr, ServerSocketChannel passedSocket) {
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
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
                                : SocketReads.untilEndOfStream())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new ClientConnection(ClientListener.this));
                            }
                        });
        // A passed socket is bound: registering it with the loop is all that is left.
        final ChannelFuture bound = hasPassedSocket ? bootstrap.register() : bootstrap.bind(addr);
        serverChannel = bound.channel();
        return bound;
    }

    /** Closes connections that take too long, and gives up streamed bodies that are too slow. */
    private void sweep() {
        if (bodies != null) {
            bodies.sweep();
        }
        connections.sweep();
    }

    Channel serverChannel() {
        return serverChannel;
    }

    /** Whether the clients' listening socket is the platform's, held over an upgrade. */
    public boolean usesPassedSocket() {
        return hasPassedSocket;
    }

    /** Connections from clients that are open. */
    public int openConnections() {
        return connections.size();
    }

    ClientConnectionRegistry connections() {
        return connections;
    }

    // ---- Shutdown ----

    /** Answers health checks with not ready; clients are served all the same. */
    public void markNotReady() {
        notReady = true;
    }

    /** Accepts no more, and closes each connection once it is idle. */
    public void stopAccepting() {
        stopListening();
        closeIdle();
    }

    /**
     * Accepts no more; each connection is closed after its next response. A passed socket stays
     * open, as the other process of an upgrade accepts on it: connections wait in its backlog, and
     * none is refused.
     */
    public void stopListening() {
        stoppedListening = true;
        if (serverChannel == null) {
            return;
        }
        if (hasPassedSocket) {
            // Out of this loop's selector, which also keeps the loop's end from closing it.
            serverChannel.config().setAutoRead(false);
            serverChannel.deregister();
        } else {
            acceptBacklog();
            serverChannel.close();
        }
    }

    /** Accepts whoever is connected already: closing the socket would reset these connections. */
    private void acceptBacklog() {
        for (int accepted = 0;
                accepted < BACKLOG && !serverChannel.eventLoop().isShuttingDown();
                accepted += ACCEPTED_PER_READ) {
            SocketReads.readNow(serverChannel);
        }
    }

    /** Closes the connections that wait for their client's next request. */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Whether no more connections are accepted. */
    boolean isStoppedListening() {
        return stoppedListening;
    }

    /** Whether connections are closed after their responses. */
    boolean isClosing() {
        return stoppedListening || closingForDrain;
    }

    // ---- Readiness ----

    /**
     * Answers health checks with not ready from now on; {@value #DRAIN_GRACE_MS} ms later, closes
     * idle connections, and each other one after its next response. New connections are still
     * accepted, and served the same way.
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

    /** Ends a drain: ready again, and connections are kept as before. */
    @Override
    public void resume() {
        draining = false;
        closingForDrain = false;
    }

    /** Whether health checks are answered with ready: workers known, not stopping, not drained. */
    @Override
    public boolean isReady() {
        return !notReady && !draining && lifecycle.isReady();
    }

    /** Why the node is not ready, in a few words. */
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

    // ---- What connections ask for ----

    RequestLifecycle lifecycle() {
        return lifecycle;
    }

    /** The parser by the settings in force. */
    RequestHeadParser parser() {
        return parser;
    }

    /** The streamed bodies, or null where no class streams any. */
    StreamedBodies bodies() {
        return bodies;
    }

    /** The longest body that any class allows, bytes. */
    long maxBodyBytes() {
        return bodies == null ? RequestBodyBuffer.MAX_BYTES : bodies.maxBytes();
    }

    /** The longest body that a class allows, bytes. */
    long maxBodyBytes(int requestClass) {
        return bodies == null ? RequestBodyBuffer.MAX_BYTES : bodies.limits(requestClass).longest();
    }

    /** Whether results of a class may be streamed. */
    boolean allowsStreamedResults(int requestClass) {
        return bodies != null && bodies.limits(requestClass).longResults();
    }

    /**
     * Reserves memory for a queued request.
     *
     * @return false where the queues of all connections together would take too much
     */
    boolean reserveQueued(int bytes) {
        if (queuedBytes + bytes > MAX_QUEUED_BYTES) {
            return false;
        }
        queuedBytes += bytes;
        return true;
    }

    /** Returns such memory. */
    void releaseQueued(int bytes) {
        queuedBytes -= bytes;
    }

    /** Bytes of the budget that streamed bodies hold, or own. */
    public long bodyBytes() {
        return bodies == null ? 0 : bodies.inUseBytes();
    }
}
