package cresschute.node.http;

import com.google.gson.JsonParseException;
import cresschute.node.Discovery;
import cresschute.node.EndpointList;
import cresschute.node.Json;
import cresschute.node.PeerFault;
import cresschute.node.RateLimitedLog;
import cresschute.node.RequestLifecycle;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Watches discovery's list by one call after the other on one connection, until a call fails.
 *
 * <p>There is one call at a time, and one connection: what comes on an older one is not heard. A
 * call that falls silent, whose answer never ends or whose connection never comes up is repeated on
 * a new connection and so that discovery need not wait for news, by {@link DiscoveryCallSchedule},
 * which works out the bounds; only when the repeats are used up is the module told, as of any other
 * failure. It asks again 0.5 to 1.5 s later.
 *
 * <p>A list that is older than the one held is taken only from a discovery service at a new
 * address, or where the discovery says the same again when asked anew for its whole list: a stale
 * answer must not bring a drained worker back, and a discovery service that counts anew must not be
 * disbelieved for good.
 */
public final class DiscoveryClient implements Discovery {

    private static final int CONNECT_MS = 1_000;
    private static final int MAX_BYTES = 4 << 20;

    private final EventLoop loop;
    private final RequestLifecycle core;
    private final RateLimitedLog faults;
    private final Bootstrap bootstrap;
    private final DiscoveryCallSchedule schedule;
    private Channel channel;

    /** When the call that is out is over, or the next repeat begins. */
    private Future<?> timer;

    private InetSocketAddress addr;
    private boolean watching;
    private boolean asked;
    private boolean newcomer;

    /** Whether an older list was sent back, so that the whole list is asked for. */
    private boolean doubted;

    /**
     * Does nothing until it is asked to watch; {@code random} spreads the repeats of many
     * dispatchers.
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress addr,
            RequestLifecycle core,
            RateLimitedLog faults,
            RandomGenerator random) {
        this.loop = loop;
        this.schedule = new DiscoveryCallSchedule(random);
        this.addr = addr;
        this.core = core;
        this.faults = faults;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel opened) {
                                        opened.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(MAX_BYTES),
                                                        new Answers());
                                    }
                                });
    }

    @Override
    public void watch() {
        asked = true;
        if (!watching) {
            watching = true;
            call();
        }
    }

    /**
     * Turns to discovery at another address; a list that was asked for is asked for there at once.
     */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(addr)) {
            return;
        }
        addr = next;
        newcomer = true;
        // Guards against waiting for an old address that says no more: its call is over, and none
        // has failed.
        hangUp();
        if (asked) {
            watching = true;
            call();
        }
    }

    private void call() {
        // Guards against a discovery service that says nothing, not even a reset.
        timer =
                loop.schedule(
                        () -> fellSilent("no answer in time"),
                        schedule.limitMs(asksForAll()),
                        TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            send();
            return;
        }
        final ChannelFuture connecting = bootstrap.connect(addr);
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (connecting.channel() != channel) {
                        connecting.channel().close();
                    } else if (done.isSuccess()) {
                        send();
                    } else if (done.cause() instanceof ConnectTimeoutException) {
                        fellSilent("no connection in time");
                    } else {
                        fail("cannot connect: " + done.cause().getMessage());
                    }
                });
    }

    private boolean asksForAll() {
        return core.listVersion() < 0 || newcomer || doubted;
    }

    /**
     * Guards what drains while discovery says nothing: one failure more would take the module's
     * pause.
     */
    private void fellSilent(String why) {
        final OptionalLong pauseMs = watching ? schedule.afterSilence() : OptionalLong.empty();
        if (pauseMs.isEmpty()) {
            fail(why);
            return;
        }
        faults.fault(PeerFault.DISCOVERY_CALL_FAILED, null, why + "; asked again at once");
        dropConnection();
        if (pauseMs.getAsLong() == 0) {
            call();
        } else {
            timer = loop.schedule(this::call, pauseMs.getAsLong(), TimeUnit.MILLISECONDS);
        }
    }

    private void send() {
        // Guards against missing a change between two discovery services: the new one is asked for
        // its whole list.
        final String path =
                "/registry/instances"
                        + (asksForAll()
                                ? ""
                                : "?since="
                                        + core.listVersion()
                                        + "&timeout_ms="
                                        + schedule.waitMs());
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(addr));
        channel.writeAndFlush(request);
    }

    private void told(FullHttpResponse response) {
        if (!response.status().equals(HttpResponseStatus.OK)) {
            fail("answered " + response.status());
            return;
        }
        final EndpointList list;
        try {
            list =
                    EndpointList.parse(
                            Json.object(response.content().toString(StandardCharsets.UTF_8)));
        } catch (JsonParseException e) {
            fail("bad list: " + e.getMessage());
            return;
        } catch (RuntimeException e) {
            // Guards against a list that the reader trips over: one line, and the list in force
            // goes on.
            fail("unreadable list: " + e);
            return;
        }
        if (list.version() < core.listVersion() && !newcomer && !(doubted && list.full())) {
            final long held = core.listVersion();
            fail("version " + list.version() + " is older than " + held);
            doubted = true;
            return;
        }
        newcomer = false;
        doubted = false;
        schedule.restart();
        // Before this call is over: should anything fail on the list, its deadline still opens a
        // new watch.
        core.endpointListReceived(list);
        timer.cancel(false);
        if (!HttpUtil.isKeepAlive(response)) {
            final Channel last = channel;
            channel = null;
            last.close();
        }
        // Guards against the watch lapsing: it goes on only if the next call comes within 200 ms.
        call();
    }

    private void fail(String why) {
        if (!watching) {
            return;
        }
        hangUp();
        faults.fault(PeerFault.DISCOVERY_CALL_FAILED, null, why);
        core.discoveryFailed();
    }

    private void hangUp() {
        watching = false;
        schedule.restart();
        dropConnection();
    }

    private void dropConnection() {
        if (timer != null) {
            timer.cancel(false);
        }
        final Channel last = channel;
        channel = null;
        if (last != null) {
            last.close();
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && watching) {
                if (response.decoderResult().isFailure()) {
                    fail("malformed answer");
                } else {
                    told(response);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                fail("connection closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
