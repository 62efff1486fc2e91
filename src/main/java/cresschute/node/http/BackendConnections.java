package cresschute.node.http;

import cresschute.node.Backends;
import cresschute.node.RateLimitedLog;
import cresschute.node.ReqContent;
import cresschute.node.Trouble;
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

/** All connections to backends: those in use and those idle, newest first, by address. */
public final class BackendConnections implements Backends {

    /** An idle connection is closed at this part of the time at which its backend would close it. */
    private static final double RETIRE_AT = 0.75;
    /** How long a probe may take, ms. */
    private static final long PROBE_MS = 350;

    /** How long none is kept after a kept one broke, s. */
    private static final long FRESH_S = 15;

    private final EventLoop loop;
    private final RateLimitedLog troubles;
    private long retireUs;
    private final int most;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<BackendConnection>> idle = new HashMap<>();
    private int opened;
    private long freshUntilNs = System.nanoTime();

    /**
     * None are open at first.
     *
     * @param most how many may be open at a time
     * @param longResults whether results may come that are passed on as they are made
     */
    public BackendConnections(EventLoop loop, RateLimitedLog troubles, long connectTimeoutUs, long connIdleUs,
        int most, boolean longResults) {
        this.loop = loop;
        this.troubles = troubles;
        this.most = most;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true);
        retune(connectTimeoutUs, connIdleUs);
        bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, longResults ? LongStream.reads()
            : Reading.toTheEnd());
    }

    /**
     * Takes these limits for connections that are opened, or become idle, from now on; where idle ones may be
     * kept less long than before, those that are idle now are closed.
     */
    public void retune(long connectTimeoutUs, long connIdleUs) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1000));
        final long before = retireUs;
        retireUs = (long) (connIdleUs * RETIRE_AT);
        if (retireUs < before) {
            List.copyOf(idle.values()).forEach(kept -> List.copyOf(kept).forEach(BackendConnection::close));
        }
    }

    @Override
    public Call fetch(InetSocketAddress addr, ReqContent content, FetchListener listener) {
        final HttpFetch fetch = new HttpFetch(host(addr), content, listener, troubles);
        start(addr, fetch);
        return fetch;
    }

    @Override
    public void probe(InetSocketAddress addr, ProbeListener listener) {
        final HttpProbe probe = new HttpProbe(host(addr), listener, troubles);
        probe.endWith(loop.schedule(probe::timedOut, PROBE_MS, TimeUnit.MILLISECONDS));
        start(addr, probe);
    }

    private static String host(InetSocketAddress addr) {
        return NetUtil.toSocketAddressString(addr);
    }

    private void start(InetSocketAddress addr, Exchange exchange) {
        final Deque<BackendConnection> waiting = idle.getOrDefault(addr, new ArrayDeque<>(0));
        for (BackendConnection up = waiting.poll(); up != null; up = waiting.poll()) {
            if (up.isUp() && up.isQuiet()) {
                up.start(exchange);
                return;
            }
        }
        if (opened >= most && !closeOneIdle()) {
            troubles.trouble(Trouble.NO_CONNECTION_LEFT, host(addr), "all are in use");
            loop.execute(exchange::broken);
            return;
        }
        opened++;
        connect(addr, exchange);
    }

    private void connect(InetSocketAddress addr, Exchange exchange) {
        final BackendConnection connection = new BackendConnection(addr, this);
        final ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), connection);
            }
        }).connect(addr);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                opened--;
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
        for (final Deque<BackendConnection> waiting : idle.values()) {
            final BackendConnection oldest = waiting.pollLast();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    @Override
    public void closeIdle(InetSocketAddress addr) {
        final Deque<BackendConnection> waiting = idle.get(addr);
        if (waiting != null) {
            List.copyOf(waiting).forEach(BackendConnection::close);
        }
    }

    /** Takes back a connection whose exchange is over. */
    void idle(BackendConnection connection) {
        if (System.nanoTime() < freshUntilNs) {
            connection.close();
        } else if (connection.isUp()) {
            connection.retireAfter(retireUs);
            idle.computeIfAbsent(connection.addr, unseen -> new ArrayDeque<>()).push(connection);
        }
    }

    /**
     * Guards against backends, or what lies before them, that drop kept connections well before the stated
     * time: the req that meets this ends as a reset, and a keyed one is bound by it. A new connection costs
     * milliseconds, so for a while no req goes out on a kept one, whichever its backend.
     */
    void keptOneBroke() {
        freshUntilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FRESH_S);
        List.copyOf(idle.values()).forEach(kept -> List.copyOf(kept).forEach(BackendConnection::close));
    }

    void closed(BackendConnection connection) {
        opened--;
        final Deque<BackendConnection> waiting = idle.get(connection.addr);
        if (waiting != null) {
            waiting.remove(connection);
            if (waiting.isEmpty()) {
                idle.remove(connection.addr);
            }
        }
    }

    /** Bytes on a connection where none are due: it ends, and nothing that they say is heeded. */
    void unasked(InetSocketAddress addr) {
        troubles.trouble(Trouble.BAD_BACKEND_ANSWER, host(addr), "to nothing that was asked");
    }

    /** A connection breaking is an outcome and no news; anything else is worth a line. */
    void troubled(InetSocketAddress addr, Throwable cause) {
        if (!(cause instanceof IOException)) {
            troubles.trouble(Trouble.BACKEND_CONNECTION, host(addr), String.valueOf(cause));
        }
    }

    /** Connections to backends that are open or coming up. */
    public int opened() {
        return opened;
    }
}
