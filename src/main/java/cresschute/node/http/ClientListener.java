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
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The clients' way in over HTTP/1.1: accepts connections and keeps those that are open. */
public final class ClientListener implements ReadinessSwitch {

    private static final int BACKLOG = 1024;

    /** How many connections Netty accepts in one reading of a listener. */
    private static final int ACCEPTED_AT_ONCE = 16;

    /** What requests that wait behind others of their connections may take, all together, bytes. */
    private static final int MAX_HELD_BYTES = 2 << 20;

    private static final long SWEEP_MS = 250;

    /**
     * A connection that waits so long for a whole request is closed, unless it has brought one
     * before. Usual clients send as soon as they are connected; one that does not is owed an end
     * within 3 s.
     */
    private static final long UNPROVEN_MS = 2_000;

    /** The same where it has brought one, and where it has begun the next. */
    private static final long QUIET_MS = 300_000;

    private static final long PARTIAL_MS = 2_500;

    /** The same once no more are accepted. */
    private static final long CLOSING_MS = 2_000;

    /**
     * After a drain is asked for, connections are let go from then on, ms. The front asks every 100
     * ms whether the node is ready and sends no new connections 200 ms after a no: a connection
     * closed before that may come straight back.
     */
    static final long LET_GO_MS = 500;

    private final EventLoop loop;
    private final RequestLifecycle core;
    private RequestHead.RequestHeadParser parser;
    private final int max;

    /** Null where bodies are short. */
    private final StreamedBodies bodies;

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel server;

    /** Whether the listener is the platform's, which is never closed here. */
    private boolean passed;

    private boolean stopping;
    private boolean closing;
    private int heldBytes;

    /** Whether an operator drained the node, and since which of the drains asked for. */
    private boolean draining;

    private int drains;

    /** Whether connections are let go after their answers because of a drain. */
    private boolean lettingGo;

    /**
     * A front that does not listen yet.
     *
     * @param max connections that it holds at a time
     */
    public ClientListener(EventLoop loop, RequestLifecycle core, NodeConfig config, int max) {
        this.loop = loop;
        this.core = core;
        this.parser =
                new RequestHead.RequestHeadParser(
                        config.classes(), config.settings().classes(), config.settings().tenants());
        this.max = max;
        this.bodies = config.bodies() == null ? null : new StreamedBodies(config.bodies(), core);
    }

    /**
     * Reads requests of these classes from now on, on the loop: {@code live} gives the number of
     * each class that new requests may be of, {@code classes} all of them by number, {@code
     * tenants} the customers.
     */
    public void applySettings(
            Map<String, Integer> live, List<RequestClass> classes, List<Tenant> tenants) {
        parser = new RequestHead.RequestHeadParser(live, classes, tenants);
    }

    /** Listens on this address only. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress addr) {
        return listen(group, addr, null);
    }

    /**
     * Listens on this address only, or accepts on a listener that the platform holds and passed on.
     *
     * @param passed bound and listening already, or null; it is shared with the other process of an
     *     upgrade
     */
    public ChannelFuture listen(
            EventLoopGroup group, InetSocketAddress addr, ServerSocketChannel passed) {
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        this.passed = passed != null;
        final ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                bodies != null ? StreamedBody.reads() : SocketReads.toTheEnd());
        bootstrap.group(group);
        if (passed == null) {
            bootstrap
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG);
        } else {
            bootstrap.channelFactory(() -> new NioServerSocketChannel(passed));
        }
        bootstrap
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
        // A passed listener is bound: registering it with the loop is all that is left.
        final ChannelFuture bound = passed == null ? bootstrap.bind(addr) : bootstrap.register();
        server = bound.channel();
        return bound;
    }

    /** Says that no new clients should come; those that do are served all the same. */
    public void markNotReady() {
        stopping = true;
    }

    /** Accepts no more, closes what is idle, and the rest once it is answered. */
    public void stopAccepting() {
        stopListening();
        closeIdle();
    }

    /**
     * Accepts no more; each connection is closed after its next answer. A passed listener stays
     * open, for the other process of an upgrade accepts on it: connections wait in its queue, and
     * none is refused.
     */
    public void stopListening() {
        closing = true;
        if (server == null) {
            return;
        }
        if (passed) {
            // Out of this loop's selector, which also keeps the loop's end from closing it.
            server.config().setAutoRead(false);
            server.deregister();
        } else {
            acceptAll();
            server.close();
        }
    }

    /**
     * Guards those who are connected already and wait to be accepted: with the listener they are
     * reset.
     */
    private void acceptAll() {
        // Each reading of a listener accepts some; over the backlog's size, all that came are in.
        for (int i = 0;
                i < BACKLOG && !server.eventLoop().isShuttingDown();
                i += ACCEPTED_AT_ONCE) {
            SocketReads.now(server);
        }
    }

    /** Closes the connections that wait for their client's next request. */
    public void closeIdle() {
        List.copyOf(connections).forEach(ClientConnection::endIfIdle);
    }

    /** Whether the clients' listener is the platform's, held over an upgrade. */
    public boolean isPassed() {
        return passed;
    }

    /**
     * Says no to the front from now on; {@value #LET_GO_MS} ms later, closes what is idle and each
     * other connection after its next answer. New connections are still accepted, and served the
     * same way.
     */
    @Override
    public void drain() {
        if (draining) {
            return;
        }
        draining = true;
        final int drain = ++drains;
        loop.schedule(
                () -> {
                    if (draining && drain == drains) {
                        lettingGo = true;
                        closeIdle();
                    }
                },
                LET_GO_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Ends a drain: ready again, and connections are kept as before. */
    @Override
    public void resume() {
        draining = false;
        lettingGo = false;
    }

    /**
     * Whether the node says that it is ready: started, a worker known, neither stopping nor
     * drained.
     */
    @Override
    public boolean isReady() {
        return !stopping && !draining && core.isReady();
    }

    /** Why it is not, in a few words. */
    @Override
    public String whyNotReady() {
        return stopping
                ? "stopping"
                : draining
                        ? "drained by an operator"
                        : !core.isReady() ? "no worker is known yet" : "ready";
    }

    /** Whether connections end after their answers. */
    boolean isClosing() {
        return closing || lettingGo;
    }

    RequestLifecycle core() {
        return core;
    }

    RequestHead.RequestHeadParser parser() {
        return parser;
    }

    /** The room for long bodies, or null where there is none. */
    StreamedBodies bodies() {
        return bodies;
    }

    /** Bytes of the longest body that any class allows. */
    long longestBody() {
        return bodies == null ? ClientConnection.MAX_BODY_BYTES : bodies.longest();
    }

    /** Bytes of the longest body that a class allows. */
    long longestBody(int requestClass) {
        return bodies == null ? ClientConnection.MAX_BODY_BYTES : bodies.of(requestClass).longest();
    }

    boolean hasLongResults(int requestClass) {
        return bodies != null && bodies.of(requestClass).longResults();
    }

    /**
     * Takes room for a request that waits behind others of its connection; false where there is
     * none.
     */
    boolean hold(int bytes) {
        if (heldBytes + bytes > MAX_HELD_BYTES) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Gives back such room. */
    void letGo(int bytes) {
        heldBytes -= bytes;
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
        if (closing) {
            // Accepted as the listener was closed: what it has sent is taken, and it is not waited
            // for.
            loop.execute(connection::endIfIdle);
        }
        if (connections.size() >= max && !makeRoom(connection)) {
            server.config().setAutoRead(false);
        }
    }

    /**
     * Guards the descriptors, and usual clients against those that only hold connections: of those
     * that owe the next word one makes room, the unproven first, but never the new one, which is
     * about to send. What has come on a connection is read before it is closed: its request may lie
     * unread. If there is none, further ones wait to be accepted until an answer makes one. Not
     * from within the reading of a client's connection.
     */
    private boolean makeRoom(ClientConnection newest) {
        final List<ClientConnection> candidates =
                connections.stream()
                        .filter(other -> other != newest && other.mayMakeRoom())
                        .sorted(
                                Comparator.comparing(ClientConnection::isProven)
                                        .thenComparing(
                                                Comparator.comparingLong(ClientConnection::waitedNs)
                                                        .reversed()))
                        .toList();
        for (final ClientConnection candidate : candidates) {
            candidate.readNow();
            if (candidate.mayMakeRoom()) {
                candidate.close();
                return true;
            }
        }
        return false;
    }

    /** An answer is written: its connection may be the first that can make room. */
    void answered() {
        if (isFull()) {
            loop.execute(this::makeRoomForNext);
        }
    }

    private void makeRoomForNext() {
        if (isFull()) {
            makeRoom(null);
        }
    }

    private boolean isFull() {
        return connections.size() >= max && !server.config().isAutoRead();
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        if (connections.size() < max && server.isOpen() && !closing) {
            server.config().setAutoRead(true);
        }
    }

    /** Guards against clients that went silent: no wait for one is without end. */
    private void sweep() {
        if (bodies != null) {
            bodies.sweep();
        }
        for (final ClientConnection connection : List.copyOf(connections)) {
            if (connection.isStreaming()) {
                continue;
            }
            if (connection.isInLongBody() && (!closing || connection.hasTakenWhatItReads())) {
                connection.judgeBody();
                continue;
            }
            final long limitMs =
                    isClosing()
                            ? CLOSING_MS
                            : !connection.isProven()
                                    ? UNPROVEN_MS
                                    : connection.isIdle() ? QUIET_MS : PARTIAL_MS;
            if (connection.isWaitingForClient()
                    && connection.waitedNs() > TimeUnit.MILLISECONDS.toNanos(limitMs)) {
                connection.close();
            }
        }
    }

    /** Bytes that long bodies hold, or own, of their budget. */
    public long bodyBytes() {
        return bodies == null ? 0 : bodies.inUse();
    }

    /** Connections from clients that are open. */
    public int openConnections() {
        return connections.size();
    }
}
