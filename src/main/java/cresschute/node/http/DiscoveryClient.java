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
 * Watches the endpoint list of the discovery service by long polls: one call after the other on one
 * connection, until a call fails.
 *
 * <p>There is one call at a time, and one connection: what arrives on an older one is discarded. A
 * call that falls silent, whose response never ends or whose connection is not established in time
 * is repeated on a new connection, and asks for a response without a wait, by {@link
 * DiscoveryCallSchedule}, which works out the bounds. Only when the repeats are used up is the
 * failure reported, as any other failure is at once; {@link #watch} is then called again 0.5 to 1.5
 * s later.
 *
 * <p>A list that is older than the one held is accepted only from a service at a new address, or
 * where the service responds the same when asked for its whole list: a stale response must not
 * bring a drained worker back, and a service that counts anew must not be rejected for good.
 *
 * <p>Owns its connection and the timer of the call, and closes them in one place. Call from the
 * event loop.
 */
public final class DiscoveryClient implements Discovery {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final String LIST_PATH = "/registry/instances";

    private final EventLoop loop;
    private final RequestLifecycle lifecycle;
    private final RateLimitedLog faults;
    private final Bootstrap bootstrap;
    private final DiscoveryCallSchedule schedule;
    private InetSocketAddress address;

    /** The connection in use, or being established; null while there is none. */
    private Channel channel;

    /** Ends the call under way, or begins the next repeat. */
    private Future<?> timer;

    /** Whether a watch is open: calls go on until one fails. */
    private boolean watching;

    /** Whether a watch was ever asked for. */
    private boolean watchRequested;

    /** Whether the address is new, and its whole list not received. */
    private boolean addressChanged;

    /** Whether an older list was rejected, so that the whole list is asked for. */
    private boolean olderListRejected;

    /**
     * A client that does nothing until it is asked to watch.
     *
     * @param address where the discovery service listens
     * @param random spreads the repeats of many dispatchers
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            RequestLifecycle lifecycle,
            RateLimitedLog faults,
            RandomGenerator random) {
        this.loop = loop;
        this.schedule = new DiscoveryCallSchedule(random);
        this.address = address;
        this.lifecycle = lifecycle;
        this.faults = faults;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel opened) {
                                        opened.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES),
                                                        new ResponseHandler());
                                    }
                                });
    }

    @Override
    public void watch() {
        watchRequested = true;
        if (!watching) {
            watching = true;
            call();
        }
    }

    /**
     * Turns to the service at another address. The call under way ends, which is no failure; if a
     * watch was ever asked for, the whole list is asked for there at once.
     */
    public void changeAddress(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        addressChanged = true;
        endWatch();
        if (watchRequested) {
            watching = true;
            call();
        }
    }

    // ---- One call ----

    private void call() {
        timer =
                loop.schedule(
                        () -> callTimedOut("no answer in time"),
                        schedule.timeoutMs(requestsFullList()),
                        TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            sendRequest();
            return;
        }
        final ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (connecting.channel() != channel) {
                        connecting.channel().close();
                    } else if (done.isSuccess()) {
                        sendRequest();
                    } else if (done.cause() instanceof ConnectTimeoutException) {
                        callTimedOut("no connection in time");
                    } else {
                        fail("cannot connect: " + done.cause().getMessage());
                    }
                });
    }

    /**
     * Whether the next call asks for the whole list: the first one, and where changes since the
     * version held would not do, at a new address or after an older list.
     */
    private boolean requestsFullList() {
        return lifecycle.listVersion() < 0 || addressChanged || olderListRejected;
    }

    private void sendRequest() {
        final String path =
                requestsFullList()
                        ? LIST_PATH
                        : LIST_PATH
                                + "?since="
                                + lifecycle.listVersion()
                                + "&timeout_ms="
                                + schedule.longPollWaitMs();
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
        channel.writeAndFlush(request);
    }

    /** The call brought nothing in time: repeats it, or reports a failure. */
    private void callTimedOut(String reason) {
        final OptionalLong pauseMs = watching ? schedule.recordTimeout() : OptionalLong.empty();
        if (pauseMs.isEmpty()) {
            fail(reason);
            return;
        }
        faults.fault(PeerFault.DISCOVERY_CALL_FAILED, null, reason + "; asked again at once");
        closeConnection();
        if (pauseMs.getAsLong() == 0) {
            call();
        } else {
            timer = loop.schedule(this::call, pauseMs.getAsLong(), TimeUnit.MILLISECONDS);
        }
    }

    // ---- Its response ----

    private void responseReceived(FullHttpResponse response) {
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
            // Whatever the parser stumbles over, the list in force stays and the watch goes on.
            fail("unreadable list: " + e);
            return;
        }
        if (isRejectedAsOlder(list)) {
            final long held = lifecycle.listVersion();
            fail("version " + list.version() + " is older than " + held);
            olderListRejected = true;
            return;
        }
        addressChanged = false;
        olderListRejected = false;
        schedule.reset();
        // The call's timer still runs: if the life cycle fails on the list, it opens a new watch.
        lifecycle.endpointListReceived(list);
        timer.cancel(false);
        if (!HttpUtil.isKeepAlive(response)) {
            final Channel last = channel;
            channel = null;
            last.close();
        }
        // At once: the service ends a watch whose next call does not come within 200 ms.
        call();
    }

    private boolean isRejectedAsOlder(EndpointList list) {
        return list.version() < lifecycle.listVersion()
                && !addressChanged
                && !(olderListRejected && list.full());
    }

    // ---- The end ----

    /** Ends the watch and reports its failure, once. */
    private void fail(String reason) {
        if (!watching) {
            return;
        }
        endWatch();
        faults.fault(PeerFault.DISCOVERY_CALL_FAILED, null, reason);
        lifecycle.discoveryFailed();
    }

    private void endWatch() {
        watching = false;
        schedule.reset();
        closeConnection();
    }

    private void closeConnection() {
        if (timer != null) {
            timer.cancel(false);
        }
        final Channel last = channel;
        channel = null;
        if (last != null) {
            last.close();
        }
    }

    /** Passes on what the connection in use brings; older ones are ignored. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && watching) {
                if (response.decoderResult().isFailure()) {
                    fail("malformed answer");
                } else {
                    responseReceived(response);
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
