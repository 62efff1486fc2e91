package cresschute.node.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A connection to a backend. It carries one exchange at a time and nothing is ever sent again on it. */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Time for the end of an answer whose outcome is told, before the connection is given up, ms. */
    private static final long TAIL_MS = 1_000;

    final InetSocketAddress addr;
    private final BackendConnections owner;
    private Channel channel;
    private Exchange exchange;
    private boolean keepAlive;
    private boolean informational;
    private boolean kept;
    private boolean closing;
    private Future<?> retire;
    private Future<?> tail;

    BackendConnection(InetSocketAddress addr, BackendConnections owner) {
        this.addr = addr;
        this.owner = owner;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Starts an exchange on this connection, which is up and idle. */
    void start(Exchange next) {
        if (retire != null) {
            retire.cancel(false);
            retire = null;
            kept = true;
        }
        exchange = next;
        next.connection = this;
        next.begun = true;
        final HttpRequest request;
        try {
            request = next.request();
        } catch (IllegalArgumentException e) {
            // Guards against a fetch without an end: what cannot be put on the wire never runs.
            exceptionCaught(null, e);
            return;
        }
        final BodyPump body = next.body();
        channel.writeAndFlush(request).addListener(sent -> {
            next.written = sent.isSuccess() && body == null;
            if (!sent.isSuccess()) {
                channel.close();
            }
        });
        if (body != null) {
            body.start(channel);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.readComplete();
        }
        ctx.fireChannelReadComplete();
    }

    /** From now on each read is asked for, or it is read on whenever there is something. */
    void readByHand(boolean byHand) {
        channel.config().setAutoRead(!byHand);
    }

    void read() {
        channel.read();
    }

    ByteBufAllocator allocator() {
        return channel.alloc();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (exchange != null && exchange.body() != null) {
            exchange.body().pump();
        }
    }

    /** Closes this connection after it has been idle for that long. */
    void retireAfter(long idleUs) {
        retire = channel.eventLoop().schedule(this::close, idleUs, TimeUnit.MICROSECONDS);
    }

    boolean isUp() {
        return channel != null && channel.isActive();
    }

    /**
     * Takes in what has come while nothing was asked here: a close, or bytes that nobody is waiting for, end
     * this connection now. Guards a req against being written where the answer to another one, or the end,
     * is to be read first.
     */
    boolean isQuiet() {
        Reading.now(channel);
        return channel.isActive();
    }

    void close() {
        closing = true;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        kept = false;
        if (exchange == null) {
            // Guards other backends against one that answers twice: that this one was kept tells nothing.
            if (!closing) {
                owner.unasked(addr);
            }
            close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!informational) {
                keepAlive = HttpUtil.isKeepAlive(response);
                exchange.head(response);
            }
        }
        if (message instanceof HttpContent content && !informational) {
            content(content);
        }
    }

    private void content(HttpContent content) {
        final Exchange current = exchange;
        final boolean wasOver = current.over;
        current.content(content.content());
        if (content instanceof LastHttpContent last) {
            forgetTail();
            exchange = null;
            current.last(last.trailingHeaders());
            current.connection = null;
            if (keepAlive && current.written) {
                owner.idle(this);
            } else {
                close();
            }
        } else if (current.over && !wasOver) {
            // Guards against a backend that tells the outcome and never ends its answer.
            tail = channel.eventLoop().schedule(this::close, TAIL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards the heap: a timer left to run out holds its fetch, with the req's body, for a second. */
    private void forgetTail() {
        if (tail != null) {
            tail.cancel(false);
            tail = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (retire != null) {
            retire.cancel(false);
        }
        forgetTail();
        owner.closed(this);
        if (!closing && (kept || exchange == null && keepAlive)) {
            owner.keptOneBroke();
        }
        if (exchange != null) {
            final Exchange broken = exchange;
            exchange = null;
            broken.broken();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        owner.troubled(addr, cause);
        close();
    }
}
