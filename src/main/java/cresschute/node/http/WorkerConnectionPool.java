package cresschute.node.http;

import cresschute.flow.MemoryAccount;
import cresschute.flow.MemoryUse;
import cresschute.node.AttemptCall;
import cresschute.node.AttemptListener;
import cresschute.node.HeapBudget;
import cresschute.node.LoadQueryListener;
import cresschute.node.LoopMonitor;
import cresschute.node.NodeTimeouts;
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
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The pool of all connections to workers. An exchange uses the idle connection to its worker that
 * was used most recently, or opens a new one; if the limit is reached, an idle connection to
 * another worker is closed first.
 *
 * <p>Owns the idle connections by address and the count of all connections; a connection in use is
 * closed by its exchange. Lives as long as the node. Call from the event loop.
 */
public final class WorkerConnectionPool implements WorkerClient {

    /** Idle timeout, as a fraction of the time after which workers close an idle connection. */
    private static final double IDLE_FRACTION = 0.75;

    /** Timeout of a load query, ms. */
    private static final long LOAD_QUERY_TIMEOUT_MS = 350;

    /** How long no connection is kept idle after a worker has closed an idle one, s. */
    private static final long REUSE_PAUSE_S = 15;

    private static final long US_PER_MS = 1_000;

    private final EventLoop loop;
    private final RateLimitedLog faults;
    private final int maxConnections;
    private final Bootstrap bootstrap;
    private final MemoryAccount memory;
    private final LineMemory lineMemory;
    private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();

    /** Idle timeout of connections, us. */
    private long maxIdleUs;

    private int openConnections;

    /** Time until which no connection is kept idle, by {@link System#nanoTime}. */
    private long reusePausedUntilNs = System.nanoTime();

    /**
     * Creates an empty pool.
     *
     * @param timeouts the times for connecting and for idle connections
     * @param maxConnections maximum number of open connections
     * @param streamedResults whether results may be streamed
     * @param memory accounts for connections and for the unfinished lines of workers
     * @param monitor told what the loop spends time on
     */
    public WorkerConnectionPool(
            EventLoop loop,
            RateLimitedLog faults,
            NodeTimeouts timeouts,
            int maxConnections,
            boolean streamedResults,
            MemoryAccount memory,
            LoopMonitor monitor) {
        this.loop = loop;
        this.memory = memory;
        this.lineMemory = new LineMemory(new MemoryQuota(memory, MemoryUse.WORKER_LINES));
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
                                        : new BoundedReads(
                                                ns ->
                                                        monitor.spent(
                                                                LoopMonitor.Activity.WORKER_READS,
                                                                ns)));
        applyTimeouts(timeouts);
    }

    /**
     * Applies timeouts to connections that are opened, or become idle, from now on. If the idle
     * timeout becomes shorter, the connections that are idle now are closed.
     */
    public void applyTimeouts(NodeTimeouts timeouts) {
        bootstrap.option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, timeouts.connectUs() / US_PER_MS));
        final long before = maxIdleUs;
        maxIdleUs = (long) (timeouts.idleUs() * IDLE_FRACTION);
        if (maxIdleUs < before) {
            closeAllIdle();
        }
    }

    // ---- Exchanges ----

    @Override
    public AttemptCall attempt(
            InetSocketAddress address, RequestContent content, AttemptListener listener) {
        final HttpAttempt attempt =
                new HttpAttempt(host(address), content, listener, faults, lineMemory);
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
        final WorkerConnection reused = takeIdle(address, exchange.requestId());
        if (reused != null) {
            reused.start(exchange);
            return;
        }
        if (openConnections >= maxConnections && !closeOneIdle()) {
            faults.fault(
                    PeerFault.NO_CONNECTION_LEFT,
                    host(address),
                    "all connections are in use; the exchange ends as not connected");
            loop.execute(exchange::connectionBroken);
            return;
        }
        if (!memory.reserve(MemoryUse.WORKER_CONNECTIONS, HeapBudget.WORKER_CONNECTION_BYTES)) {
            memory.countRefused(MemoryUse.WORKER_CONNECTIONS);
            faults.fault(
                    PeerFault.NO_CONNECTION_LEFT,
                    host(address),
                    "no memory for a connection; the exchange ends as not connected");
            loop.execute(exchange::connectionBroken);
            return;
        }
        openConnections++;
        connect(address, exchange);
    }

    /**
     * Removes and returns the usable idle connection that was used most recently and that has not
     * carried an earlier attempt of this request, or null.
     */
    private WorkerConnection takeIdle(InetSocketAddress address, String requestId) {
        final Deque<WorkerConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        WorkerConnection next = removeFirstNotCarrying(connections, requestId);
        while (next != null && !(next.isActive() && next.isUsableAfterRead())) {
            next = removeFirstNotCarrying(connections, requestId);
        }
        return next;
    }

    private static WorkerConnection removeFirstNotCarrying(
            Deque<WorkerConnection> connections, String requestId) {
        final Iterator<WorkerConnection> candidates = connections.iterator();
        while (candidates.hasNext()) {
            final WorkerConnection candidate = candidates.next();
            if (!candidate.hasCarried(requestId)) {
                candidates.remove();
                return candidate;
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
                                                .addLast(
                                                        new PacedOutput(),
                                                        new HttpClientCodec(),
                                                        connection);
                                    }
                                })
                        .connect(address);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connectionEnded();
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

    /** Returns a connection to the pool after its exchange has ended. */
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
     * Notes that a worker, or a proxy in front of it, closed an idle connection before the stated
     * time. An attempt sent on such a connection ends as broken, and a keyed request is then bound
     * to its deduplication scope, whereas a new connection costs only milliseconds. Therefore no
     * connection to any worker is kept idle for {@value #REUSE_PAUSE_S} s.
     */
    void idleConnectionClosedByWorker() {
        reusePausedUntilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(REUSE_PAUSE_S);
        closeAllIdle();
    }

    /** Called when a connection that was established is closed. */
    void connectionClosed(WorkerConnection connection) {
        connectionEnded();
        final Deque<WorkerConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    private void connectionEnded() {
        openConnections--;
        memory.release(MemoryUse.WORKER_CONNECTIONS, HeapBudget.WORKER_CONNECTION_BYTES);
    }

    // ---- Faults ----

    /** Logs a response without a request; the connection that received it is not reused. */
    void unexpectedResponse(InetSocketAddress address) {
        faults.fault(
                PeerFault.BAD_WORKER_ANSWER,
                host(address),
                "response without a request; the connection is not reused");
    }

    /** Logs a failed connection, except for I/O errors, which are an outcome of its exchange. */
    void connectionFailed(InetSocketAddress address, Throwable cause) {
        if (!(cause instanceof IOException)) {
            faults.fault(PeerFault.WORKER_CONNECTION, host(address), String.valueOf(cause));
        }
    }

    /** Number of connections to workers that are open or being established. */
    public int openConnections() {
        return openConnections;
    }
}
