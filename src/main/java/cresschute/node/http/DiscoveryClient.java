package cresschute.node.http;

import com.google.gson.JsonParseException;
import cresschute.node.Discovery;
import cresschute.node.EndpointList;
import cresschute.node.Json;
import cresschute.node.NodeTimeouts;
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
 * Watches the endpoint list of the discovery service by long polling: it sends one call after the
 * other on one connection until a call fails.
 *
 * <p>Only one call and one connection are in use at a time; data from an older connection is
 * discarded. If a call gets no complete response in time, or its connection is not established in
 * time, it is retried on a new connection and asks for an immediate response. {@link
 * DiscoveryCallSchedule} sets the timeouts and delays. A timeout is reported as a failure only
 * after the last retry, any other failure at once. {@link #watch} is then called again after the
 * dispatcher's backoff.
 *
 * <p>If the list is pushed, the client opens the watch itself, and again after each failure: {@link
 * ReopenBackoff} sets the pauses, and failures are logged but not reported. The first call of such
 * a watch asks for an immediate response, so that a stale list is not used any longer than
 * necessary.
 *
 * <p>A list with a lower version than the current one is accepted only from a service at a new
 * address, or if the service returns an older version again when asked for its full list. This
 * keeps a stale response from bringing a drained worker back, and still accepts a service that
 * restarted its version count.
 *
 * <p>Owns its connection and the timer of the call, and closes both in one place. Call from the
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
    private final ReopenBackoff reopenBackoff;
    private InetSocketAddress address;

    /** The connection in use, or being established; null while there is none. */
    private Channel channel;

    /**
     * Times out the current call, or starts the next retry or the next watch of a pushed list; null
     * before the first call.
     */
    private Future<?> timer;

    /** Whether the list is pushed, so that this client keeps a watch open by itself. */
    private boolean pushed;

    /** Whether a watch is active: calls follow one another until one fails. */
    private boolean watching;

    /** Whether {@link #watch} was ever called. */
    private boolean watchRequested;

    /** Whether the address has changed and no list was received from the new one yet. */
    private boolean addressChanged;

    /** Whether an older list was rejected, so that the next call requests the full list. */
    private boolean olderListRejected;

    /**
     * Creates a client that is idle until {@link #watch} is called.
     *
     * @param address where the discovery service listens
     * @param random jitter that spreads the retries of many dispatchers
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            RequestLifecycle lifecycle,
            RateLimitedLog faults,
            RandomGenerator random) {
        this.loop = loop;
        this.schedule = new DiscoveryCallSchedule(random);
        this.reopenBackoff = new ReopenBackoff(random);
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
            openWatch();
        }
    }

    @Override
    public void setPushed(boolean next) {
        if (next == pushed) {
            return;
        }
        pushed = next;
        if (pushed) {
            watch();
        } else if (!watching) {
            // Between two watches: from now on the dispatcher decides when to call again.
            cancelTimer();
            lifecycle.discoveryFailed();
        }
    }

    /** Applies the grace of a drain, which limits how long a pushed list may be unwatched. */
    public void applyTimeouts(NodeTimeouts timeouts) {
        reopenBackoff.setDrainGraceUs(timeouts.drainGraceUs());
    }

    private void openWatch() {
        cancelTimer();
        watching = true;
        if (pushed) {
            schedule.startConfirming();
        }
        call();
    }

    /**
     * Changes the address of the service. The current call is cancelled, which is not reported as a
     * failure. If a watch was ever requested, the full list is requested from the new address at
     * once.
     */
    public void changeAddress(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        addressChanged = true;
        endWatch();
        reopenBackoff.reset();
        if (watchRequested) {
            openWatch();
        }
    }

    // ---- One call ----

    private void call() {
        timer =
                loop.schedule(
                        () -> callTimedOut("no response in time"),
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
     * Whether the next call requests the full list: at the first call, at a new address and after
     * an older list, where changes since the current version would not be sufficient.
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

    /** Retries a call that timed out, or reports its failure after the last retry. */
    private void callTimedOut(String reason) {
        final OptionalLong pauseMs = watching ? schedule.recordTimeout() : OptionalLong.empty();
        if (pauseMs.isEmpty()) {
            fail(reason);
            return;
        }
        faults.fault(
                PeerFault.DISCOVERY_CALL_FAILED, null, reason + "; retrying on a new connection");
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
            fail("expected status 200, got " + response.status());
            return;
        }
        final EndpointList list;
        try {
            list =
                    EndpointList.parse(
                            Json.object(response.content().toString(StandardCharsets.UTF_8)));
        } catch (JsonParseException e) {
            fail("malformed endpoint list: " + e.getMessage());
            return;
        } catch (RuntimeException e) {
            // On any error in the parser the current list stays in use and the watch is retried.
            fail("cannot parse endpoint list: " + e);
            return;
        }
        if (isRejectedAsOlder(list)) {
            final long held = lifecycle.listVersion();
            fail("list version " + list.version() + " is older than the current " + held);
            olderListRejected = true;
            return;
        }
        addressChanged = false;
        olderListRejected = false;
        schedule.reset();
        reopenBackoff.reset();
        // The call's timer still runs: if the lifecycle throws on the list, it starts a new call.
        lifecycle.endpointListReceived(list);
        timer.cancel(false);
        if (!HttpUtil.isKeepAlive(response)) {
            final Channel last = channel;
            channel = null;
            last.close();
        }
        // Call at once: the service ends a watch if its next call does not arrive within 200 ms.
        call();
    }

    private boolean isRejectedAsOlder(EndpointList list) {
        return list.version() < lifecycle.listVersion()
                && !addressChanged
                && !(olderListRejected && list.full());
    }

    // ---- The end ----

    /** Ends the watch and reports its failure, once; the watch of a pushed list is opened again. */
    private void fail(String reason) {
        if (!watching) {
            return;
        }
        endWatch();
        faults.fault(PeerFault.DISCOVERY_CALL_FAILED, null, reason);
        if (pushed) {
            timer =
                    loop.schedule(
                            this::openWatch, reopenBackoff.nextPauseMs(), TimeUnit.MILLISECONDS);
        } else {
            lifecycle.discoveryFailed();
        }
    }

    private void endWatch() {
        watching = false;
        schedule.reset();
        closeConnection();
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void closeConnection() {
        cancelTimer();
        final Channel last = channel;
        channel = null;
        if (last != null) {
            last.close();
        }
    }

    /** Handles the responses of the current connection and ignores those of older ones. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && watching) {
                if (response.decoderResult().isFailure()) {
                    fail("malformed HTTP response");
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
