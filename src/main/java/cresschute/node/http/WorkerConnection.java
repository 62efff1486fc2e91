package cresschute.node.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The channel handler of one connection to a worker. It carries one {@link HttpExchange} at a time;
 * requests are neither pipelined nor written a second time.
 *
 * <p>Life cycle: connected by {@link WorkerConnectionPool}, started by {@link #start}, then idle in
 * the pool or closed. An idle connection is started again, or closes itself after its idle timeout.
 * Owns its channel, the idle timer and the timer for the end of a response; all are released when
 * the channel closes. Call from the event loop.
 */
final class WorkerConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * How long a response may continue after the outcome of its attempt, ms. The connection is then
     * closed.
     */
    private static final long RESPONSE_END_TIMEOUT_MS = 1_000;

    /** The number of ids that a connection remembers. */
    private static final int MAX_CARRIED_IDS = 32;

    private final InetSocketAddress address;
    private final WorkerConnectionPool pool;

    /** The hash codes of the latest ids; two ids with the same one are taken for the same. */
    private final int[] carriedIds = new int[MAX_CARRIED_IDS];

    private int carriedCount;
    private final DuplicateResponseDetector duplicates = new DuplicateResponseDetector();
    private Channel channel;

    /** The current exchange, or null while idle. */
    private HttpExchange exchange;

    /** Whether the worker keeps the connection open after the current response. */
    private boolean keepAlive;

    /** Whether the current response is informational (1xx), which is discarded. */
    private boolean informational;

    /** Whether nothing was received since the connection was reused. */
    private boolean reusedWithoutData;

    /** Whether this side has closed the connection. */
    private boolean closing;

    private Future<?> idleTimer;
    private Future<?> responseEndTimer;

    /** When it became idle, by {@link System#nanoTime}. */
    private long idleSinceNs;

    /** Creates the handler of a connection that is not established yet. */
    WorkerConnection(InetSocketAddress address, WorkerConnectionPool pool) {
        this.address = address;
        this.pool = pool;
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    // ---- The request ----

    /** Starts an exchange; the connection must be established and idle. */
    void start(HttpExchange next) {
        if (idleTimer != null) {
            idleTimer.cancel(false);
            idleTimer = null;
            reusedWithoutData = true;
            duplicates.exchangeStarted(System.nanoTime() - idleSinceNs);
        }
        exchange = next;
        rememberCarried(next.requestId());
        next.begin(this);
        final HttpRequest request;
        try {
            request = next.request();
        } catch (IllegalArgumentException e) {
            // A request that cannot be encoded never runs, but its attempt must end.
            exceptionCaught(null, e);
            return;
        }
        write(next, request);
    }

    private void rememberCarried(String requestId) {
        if (requestId != null) {
            carriedIds[carriedCount % MAX_CARRIED_IDS] = requestId.hashCode();
            carriedCount++;
        }
    }

    /**
     * Whether this connection has lately carried a request with this id. An answer to that exchange
     * that comes late, or a second time, could be taken for the answer to another attempt of the
     * same request.
     */
    boolean hasCarried(String requestId) {
        if (requestId == null) {
            return false;
        }
        final int hash = requestId.hashCode();
        for (int i = 0; i < Math.min(carriedCount, MAX_CARRIED_IDS); i++) {
            if (carriedIds[i] == hash) {
                return true;
            }
        }
        return false;
    }

    private void write(HttpExchange next, HttpRequest request) {
        final BodyTransfer body = next.bodyTransfer();
        channel.writeAndFlush(request)
                .addListener(
                        write -> {
                            if (!write.isSuccess()) {
                                channel.close();
                            } else if (body == null) {
                                next.markWritten();
                            }
                        });
        if (body != null) {
            body.start(channel);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (exchange != null && exchange.bodyTransfer() != null) {
            exchange.bodyTransfer().resume();
        }
    }

    // ---- The response ----

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        reusedWithoutData = false;
        if (exchange == null) {
            // A worker that responds twice says nothing about how long workers keep idle
            // connections, so keep-alive stays enabled.
            if (!closing) {
                pool.unexpectedResponse(address);
            }
            close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            headReceived(response);
        }
        if (message instanceof HttpContent content && !informational) {
            if (!duplicates.isHolding()) {
                contentReceived(content);
            } else if (content instanceof LastHttpContent last) {
                duplicates.heldResponseEnded(
                        channel.eventLoop(), () -> acceptHeldResponse(last.trailingHeaders()));
            }
        }
    }

    private void headReceived(HttpResponse response) {
        informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        if (duplicates.headReceived()) {
            pool.unexpectedResponse(address);
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        if (!duplicates.holdIfSuspect(response)) {
            exchange.headReceived(response);
        }
    }

    private void acceptHeldResponse(HttpHeaders trailers) {
        exchange.headReceived(duplicates.accept());
        contentReceived(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers));
    }

    private void contentReceived(HttpContent content) {
        final HttpExchange current = exchange;
        final boolean wasOver = current.isOver();
        current.contentReceived(content.content());
        if (content instanceof LastHttpContent last) {
            responseEnded(current, last.trailingHeaders());
        } else if (current.isOver() && !wasOver) {
            // The outcome is known, but the worker might never end its response.
            responseEndTimer =
                    channel.eventLoop()
                            .schedule(this::close, RESPONSE_END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void responseEnded(HttpExchange current, HttpHeaders trailers) {
        if (current.isStaleResponse()) {
            current.staleResponseEnded();
            duplicates.duplicateSeen();
            pool.unexpectedResponse(address);
            return;
        }
        cancelResponseEndTimer();
        exchange = null;
        current.responseCompleted(trailers);
        current.leaveConnection();
        if (keepAlive && current.isWritten() && !duplicates.hasSeenDuplicate()) {
            pool.release(this);
        } else {
            close();
        }
    }

    /** Until it is cancelled, the timer keeps the exchange and the request's body in memory. */
    private void cancelResponseEndTimer() {
        if (responseEndTimer != null) {
            responseEndTimer.cancel(false);
            responseEndTimer = null;
        }
    }

    /** Whether lines with another request ID may be a duplicate of the previous response. */
    boolean mayReceiveDuplicate() {
        return duplicates.isDuplicatePossible();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.readCompleted();
        }
        ctx.fireChannelReadComplete();
    }

    /** Disables automatic reads: each read must be requested by {@link #read}. */
    void stopAutoRead() {
        channel.config().setAutoRead(false);
    }

    /** Enables automatic reads: the connection is read whenever bytes arrive. */
    void resumeAutoRead() {
        channel.config().setAutoRead(true);
    }

    /** Requests one read. */
    void read() {
        channel.read();
    }

    ByteBufAllocator allocator() {
        return channel.alloc();
    }

    // ---- Idle, and closed ----

    /** Marks the connection as idle; it closes itself after {@code idleUs}, us. */
    void closeAfterIdle(long idleUs) {
        idleSinceNs = System.nanoTime();
        idleTimer = channel.eventLoop().schedule(this::close, idleUs, TimeUnit.MICROSECONDS);
    }

    boolean isActive() {
        return channel != null && channel.isActive();
    }

    /**
     * Reads pending data on this idle connection. If the worker has closed it or has sent
     * unexpected bytes, it is closed now, so that no request is written to it.
     *
     * @return whether it can be used
     */
    boolean isUsableAfterRead() {
        SocketReads.readNow(channel);
        return channel.isActive();
    }

    /** Closes the connection; the current exchange, if any, is notified that it broke. */
    void close() {
        closing = true;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (idleTimer != null) {
            idleTimer.cancel(false);
        }
        cancelResponseEndTimer();
        // A held response may not belong to this exchange, so the exchange ends as broken.
        duplicates.cancel();
        pool.connectionClosed(this);
        if (!closing && (reusedWithoutData || (exchange == null && keepAlive))) {
            pool.idleConnectionClosedByWorker();
        }
        if (exchange != null) {
            final HttpExchange broken = exchange;
            exchange = null;
            broken.connectionBroken();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pool.connectionFailed(address, cause);
        close();
    }
}
