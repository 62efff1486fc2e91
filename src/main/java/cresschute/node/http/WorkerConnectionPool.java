package cresschute.node.http;

import cresschute.node.AttemptCall;
import cresschute.node.AttemptListener;
import cresschute.node.LoadQueryListener;
import cresschute.node.PeerFault;
import cresschute.node.RateLimitedLog;
import cresschute.node.RequestContent;
import cresschute.node.WorkerClient;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * All connections to workers. An exchange takes the idle connection to its worker that was used
 * last, or a new one; at the limit an idle connection to another worker is closed for it.
 *
 * <p>Owns the idle connections by address and the count of all; a connection under way is closed by
 * its exchange. Lives as long as the node. Call from the event loop.
 */
public final class WorkerConnectionPool implements WorkerClient {

    /** An idle connection is closed at this fraction of the time at which its worker closes it. */
    private static final double IDLE_FRACTION = 0.75;

    /** How long a load query may take, ms. */
    private static final long LOAD_QUERY_TIMEOUT_MS = 350;

    /** How long no connection is kept after an idle one was closed by its worker, s. */
    private static final long REUSE_PAUSE_S = 15;

    private static final long US_PER_MS = 1_000;

    private final EventLoop loop;
    private final RateLimitedLog faults;
    private final int maxConnections;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();

    /** How long a connection is kept idle, us. */
    private long maxIdleUs;

    private int openConnections;

    /** Until when no connection is kept, by {@link System#nanoTime}. */
    private long reusePausedUntilNs = System.nanoTime();

    /**
     * An empty pool.
     *
     * @param connectTimeoutUs how long a connection may take to be established, us
     * @param connIdleUs how long workers keep an idle connection, us
     * @param maxConnections connections that may be open at a time
     * @param streamedResults whether results may be passed on as they are made
     */
    public WorkerConnectionPool(
            EventLoop loop,
            RateLimitedLog faults,
            long connectTimeoutUs,
            long connIdleUs,
            int maxConnections,
            boolean streamedResults) {
        this.loop = loop;
        this.faults = faults;
        this.maxConnections = maxConnections;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                streamedResults
                                        ? StreamedBody.boundedReads()
                                        : SocketReads.untilEndOfStream());
        applySettings(connectTimeoutUs, connIdleUs);
    }

    /**
     * Takes these limits for connections that are opened, or become idle, from now on. Where idle
     * ones are to be kept less long than before, those that are idle now are closed.
     *
     * @param connectTimeoutUs how long a connection may take to be established, us
     * @param connIdleUs how long workers keep an idle connection, us
     */
    public void applySettings(long connectTimeoutUs, long connIdleUs) {
        bootstrap.option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, connectTimeoutUs / US_PER_MS));
        final long before = maxIdleUs;
        maxIdleUs = (long) (connIdleUs * IDLE_FRACTION);
        if (maxIdleUs < before) {
            closeAllIdle();
        }
    }

    // ---- Exchanges ----

    @Override
    public AttemptCall attempt(
            InetSocketAddress address, RequestContent content, AttemptListener listener) {
        final HttpAttempt attempt = new HttpAttempt(host(address), content, listener, faults);
        start(address, attempt);
        return attempt;
    }

    @Override
    public void queryLoad(InetSocketAddress address, LoadQueryListener listener) {
        final HttpLoadQuery query = new HttpLoadQuery(host(address), listener, faults);
        query.setTimeout(
                loop.schedule(query::timedOut, LOAD_QUERY_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        start(address, query);
    }

    private static String host(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }

    private void start(InetSocketAddress address, HttpExchange exchange) {
        final WorkerConnection reused = takeIdle(address);
        if (reused != null) {
            reused.start(exchange);
            return;
        }
        if (openConnections >= maxConnections && !closeOneIdle()) {
            faults.fault(PeerFault.NO_CONNECTION_LEFT, host(address), "all are in use");
            loop.execute(exchange::connectionBroken);
            return;
        }
        openConnections++;
        connect(address, exchange);
    }

    /** The idle connection that was used last and is still usable, or null. */
    private WorkerConnection takeIdle(InetSocketAddress address) {
        final Deque<WorkerConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        for (WorkerConnection next = connections.poll(); next != null; next = connections.poll()) {
            if (next.isActive() && next.isUsableAfterRead()) {
                return next;
            }
        }
        return null;
    }

    private void connect(InetSocketAddress address, HttpExchange exchange) {
        final WorkerConnection connection = new WorkerConnection(address, this);
        final ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec(), connection);
                                    }
                                })
                        .connect(address);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        openConnections--;
                        exchange.connectionBroken();
                    } else if (exchange.isOver() || !exchange.mayBegin()) {
                        connecting.channel().close();
                    } else {
                        connection.start(exchange);
                    }
                });
    }

    // ---- Idle connections ----

    private boolean closeOneIdle() {
        for (final Deque<WorkerConnection> connections : idle.values()) {
            final WorkerConnection oldest = connections.pollLast();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    private void closeAllIdle() {
        List.copyOf(idle.values())
                .forEach(each -> List.copyOf(each).forEach(WorkerConnection::close));
    }

    @Override
    public void closeIdle(InetSocketAddress address) {
        final Deque<WorkerConnection> connections = idle.get(address);
        if (connections != null) {
            List.copyOf(connections).forEach(WorkerConnection::close);
        }
    }

    /** Takes back a connection whose exchange is over. */
    void release(WorkerConnection connection) {
        if (System.nanoTime() < reusePausedUntilNs) {
            connection.close();
        } else if (connection.isActive()) {
            connection.closeAfterIdle(maxIdleUs);
            idle.computeIfAbsent(connection.address(), unseen -> new ArrayDeque<>())
                    .push(connection);
        }
    }

    /**
     * A worker, or what lies before it, closed a kept connection before the stated time. A request
     * that meets this ends as a reset, and a keyed one is then bound to its group, whereas a new
     * connection costs milliseconds: so for a while no connection is kept, to any worker.
     */
    void idleConnectionClosedByWorker() {
        reusePausedUntilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(REUSE_PAUSE_S);
        closeAllIdle();
    }

    /** A connection that was established is closed. */
    void connectionClosed(WorkerConnection connection) {
        openConnections--;
        final Deque<WorkerConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    // ---- Faults ----

    /** Bytes were received that no request asked for; the connection that brought them ends. */
    void unexpectedResponse(InetSocketAddress address) {
        faults.fault(PeerFault.BAD_WORKER_ANSWER, host(address), "to nothing that was asked");
    }

    /** A connection failed; a break is an outcome of its exchange, anything else is logged. */
    void connectionFailed(InetSocketAddress address, Throwable cause) {
        if (!(cause instanceof IOException)) {
            faults.fault(PeerFault.WORKER_CONNECTION, host(address), String.valueOf(cause));
        }
    }

    /** Connections to workers that are open or being established. */
    public int openConnections() {
        return openConnections;
    }
}
