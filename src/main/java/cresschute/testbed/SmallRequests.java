package cresschute.testbed;

import cresschute.node.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Sends many small requests to workers that answer immediately, to measure the cost of a request in
 * the node itself. Requests are due at a constant rate, and latency is measured from the due time
 * even if no connection was free, so that a stalled node shows in all requests that were due
 * meanwhile.
 */
public final class SmallRequests implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final long STEP_US = 1_000;
    private static final long MAX_US = 60_000_000;

    /** The maximum time that a step may take beyond its planned duration, ms. */
    private static final long MAX_EXTRA_MS = 120_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop clients = group.next();
    private final EventLoop workers = group.next();
    private final Clock clock = Clock.system();
    private final List<LoopbackServer> servers = new ArrayList<>();
    private final Deque<Client> idle = new ArrayDeque<>();
    private final Deque<Long> due = new ArrayDeque<>();
    private final Histogram times = new Histogram(MAX_US, 3);
    private long notServed;
    private long lastId;

    /** Starts this many workers and returns their addresses. */
    public List<InetSocketAddress> startWorkers(int count) {
        final List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final LoopbackServer server =
                    new LoopbackServer(
                            workers,
                            channel ->
                                    channel.pipeline()
                                            .addLast(
                                                    new HttpServerCodec(),
                                                    new HttpObjectAggregator(MAX_BODY_BYTES),
                                                    new Worker()));
            addresses.add(server.listen());
            servers.add(server);
        }
        return addresses;
    }

    private static final class Worker extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ctx.writeAndFlush(
                    LoopbackServer.answer(
                            HttpResponseStatus.OK,
                            "{\"id\":\""
                                    + request.headers().get("X-Request-Id")
                                    + "\",\"state\":\"done\",\"result\":\"ok\"}\n"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Connects this many clients. */
    public void connect(SocketAddress node, int count) {
        for (int i = 0; i < count; i++) {
            final Client client = new Client();
            final Channel channel =
                    new Bootstrap()
                            .group(clients)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel each) {
                                            each.pipeline()
                                                    .addLast(
                                                            new HttpClientCodec(),
                                                            new HttpObjectAggregator(
                                                                    MAX_BODY_BYTES),
                                                            client);
                                        }
                                    })
                            .connect(node)
                            .syncUninterruptibly()
                            .channel();
            client.channel = channel;
            CompletableFuture.runAsync(() -> idle.add(client), clients)
                    .orTimeout(MAX_EXTRA_MS, TimeUnit.MILLISECONDS)
                    .join();
        }
    }

    /**
     * Sends requests for a while. Returns the latencies of the served requests, us, when the last
     * has been answered.
     */
    public Histogram run(int requestsPerS, long forMs) throws InterruptedException {
        final CompletableFuture<Void> done = new CompletableFuture<>();
        clients.execute(
                () -> {
                    times.reset();
                    notServed = 0;
                    scheduleSends(
                            clock.nowUs(), requestsPerS, 0, requestsPerS * forMs / 1_000, done);
                });
        done.orTimeout(forMs + MAX_EXTRA_MS, TimeUnit.MILLISECONDS).join();
        return CompletableFuture.supplyAsync(times::copy, clients)
                .orTimeout(MAX_EXTRA_MS, TimeUnit.MILLISECONDS)
                .join();
    }

    private void scheduleSends(
            long startUs, int requestsPerS, long queued, long all, CompletableFuture<Void> done) {
        final long nowUs = clock.nowUs();
        final long wanted = Math.min(all, (nowUs - startUs) * requestsPerS / 1_000_000);
        for (long i = queued; i < wanted; i++) {
            due.add(startUs + i * 1_000_000 / requestsPerS);
        }
        sendDue();
        if (times.getTotalCount() + notServed >= all) {
            done.complete(null);
        } else {
            clients.schedule(
                    () -> scheduleSends(startUs, requestsPerS, Math.max(queued, wanted), all, done),
                    STEP_US,
                    TimeUnit.MICROSECONDS);
        }
    }

    private void sendDue() {
        while (!due.isEmpty() && !idle.isEmpty()) {
            idle.pollFirst().send(due.pollFirst());
        }
    }

    /** The number of requests of the last run that were rejected or failed. */
    public long notServed() {
        return CompletableFuture.supplyAsync(() -> notServed, clients)
                .orTimeout(MAX_EXTRA_MS, TimeUnit.MILLISECONDS)
                .join();
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final ByteBuf body =
                Unpooled.unreleasableBuffer(Unpooled.copiedBuffer("{}", StandardCharsets.US_ASCII));
        private Channel channel;
        private long dueUs;

        void send(long due) {
            dueUs = due;
            final FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.POST, "/small", body.duplicate());
            request.headers()
                    .set("Host", "node")
                    .set("X-Request-Id", "small-" + ++lastId)
                    .set("X-Deadline", "5000m")
                    .set("Content-Length", "2");
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().code() == OK) {
                times.recordValue(Math.max(0, Math.min(MAX_US, clock.nowUs() - dueUs)));
            } else {
                notServed++;
            }
            idle.add(this);
            sendDue();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The request in flight stays unanswered, so that the run does not complete and the
            // fault is seen.
            ctx.close();
        }
    }

    @Override
    public void close() {
        servers.forEach(
                server ->
                        CompletableFuture.runAsync(server::close, workers)
                                .orTimeout(MAX_EXTRA_MS, TimeUnit.MILLISECONDS)
                                .join());
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
