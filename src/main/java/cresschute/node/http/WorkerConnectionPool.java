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

/** All connections to workers: those in use and those idle, newest first, by address. */
public final class WorkerConnectionPool implements WorkerClient {

    /** An idle connection is closed at this part of the time at which its worker would close it. */
    private static final double RETIRE_AT = 0.75;

    /** How long a load query may take, ms. */
    private static final long PROBE_MS = 350;

    /** How long no connection is kept idle after one that was kept broke, s. */
    private static final long FRESH_S = 15;

    private final EventLoop loop;
    private final RateLimitedLog faults;
    private long retireUs;
    private final int max;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();
    private int openConnections;
    private long freshUntilNs = System.nanoTime();

    /**
     * None are open at first.
     *
     * @param max how many may be open at a time
     * @param longResults whether results may come that are passed on as they are made
     */
    public WorkerConnectionPool(
            EventLoop loop,
            RateLimitedLog faults,
            long connectTimeoutUs,
            long connIdleUs,
            int max,
            boolean longResults) {
        this.loop = loop;
        this.faults = faults;
        this.max = max;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true);
        applySettings(connectTimeoutUs, connIdleUs);
        bootstrap.option(
                ChannelOption.RECVBUF_ALLOCATOR,
                longResults ? StreamedBody.boundedReads() : SocketReads.untilEndOfStream());
    }

    /**
     * Takes these limits for connections that are opened, or become idle, from now on; where idle
     * ones may be kept less long than before, those that are idle now are closed.
     */
    public void applySettings(long connectTimeoutUs, long connIdleUs) {
        bootstrap.option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1000));
        final long before = retireUs;
        retireUs = (long) (connIdleUs * RETIRE_AT);
        if (retireUs < before) {
            List.copyOf(idle.values())
                    .forEach(kept -> List.copyOf(kept).forEach(WorkerConnection::close));
        }
    }

    @Override
    public AttemptCall attempt(
            InetSocketAddress addr, RequestContent content, AttemptListener listener) {
        final HttpAttempt attempt = new HttpAttempt(host(addr), content, listener, faults);
        start(addr, attempt);
        return attempt;
    }

    @Override
    public void queryLoad(InetSocketAddress addr, LoadQueryListener listener) {
        final HttpLoadQuery probe = new HttpLoadQuery(host(addr), listener, faults);
        probe.endWith(loop.schedule(probe::timedOut, PROBE_MS, TimeUnit.MILLISECONDS));
        start(addr, probe);
    }

    private static String host(InetSocketAddress addr) {
        return NetUtil.toSocketAddressString(addr);
    }

    private void start(InetSocketAddress addr, HttpExchange exchange) {
        final Deque<WorkerConnection> waiting = idle.getOrDefault(addr, new ArrayDeque<>(0));
        for (WorkerConnection up = waiting.poll(); up != null; up = waiting.poll()) {
            if (up.isUp() && up.isQuiet()) {
                up.start(exchange);
                return;
            }
        }
        if (openConnections >= max && !closeOneIdle()) {
            faults.fault(PeerFault.NO_CONNECTION_LEFT, host(addr), "all are in use");
            loop.execute(exchange::broken);
            return;
        }
        openConnections++;
        connect(addr, exchange);
    }

    private void connect(InetSocketAddress addr, HttpExchange exchange) {
        final WorkerConnection connection = new WorkerConnection(addr, this);
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
                        .connect(addr);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        openConnections--;
                        exchange.broken();
                    } else if (exchange.over || !exchange.mayBegin()) {
                        // Given up before it was up.
                        connecting.channel().close();
                    } else {
                        connection.start(exchange);
                    }
                });
    }

    private boolean closeOneIdle() {
        for (final Deque<WorkerConnection> waiting : idle.values()) {
            final WorkerConnection oldest = waiting.pollLast();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    @Override
    public void closeIdle(InetSocketAddress addr) {
        final Deque<WorkerConnection> waiting = idle.get(addr);
        if (waiting != null) {
            List.copyOf(waiting).forEach(WorkerConnection::close);
        }
    }

    /** Takes back a connection whose exchange is over. */
    void idle(WorkerConnection connection) {
        if (System.nanoTime() < freshUntilNs) {
            connection.close();
        } else if (connection.isUp()) {
            connection.retireAfter(retireUs);
            idle.computeIfAbsent(connection.addr, unseen -> new ArrayDeque<>()).push(connection);
        }
    }

    /**
     * Guards against workers, or what lies before them, that drop kept connections well before the
     * stated time: the request that meets this ends as a reset, and a keyed one is bound by it. A
     * new connection costs milliseconds, so for a while no request goes out on a kept one,
     * whichever its worker.
     */
    void keptOneBroke() {
        freshUntilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FRESH_S);
        List.copyOf(idle.values())
                .forEach(kept -> List.copyOf(kept).forEach(WorkerConnection::close));
    }

    void closed(WorkerConnection connection) {
        openConnections--;
        final Deque<WorkerConnection> waiting = idle.get(connection.addr);
        if (waiting != null) {
            waiting.remove(connection);
            if (waiting.isEmpty()) {
                idle.remove(connection.addr);
            }
        }
    }

    /** Bytes on a connection where none are due: it ends, and nothing that they say is heeded. */
    void unasked(InetSocketAddress addr) {
        faults.fault(PeerFault.BAD_WORKER_ANSWER, host(addr), "to nothing that was asked");
    }

    /** A connection breaking is an outcome and no news; anything else is worth a line. */
    void troubled(InetSocketAddress addr, Throwable cause) {
        if (!(cause instanceof IOException)) {
            faults.fault(PeerFault.WORKER_CONNECTION, host(addr), String.valueOf(cause));
        }
    }

    /** Connections to workers that are open or coming up. */
    public int openConnections() {
        return openConnections;
    }
}
