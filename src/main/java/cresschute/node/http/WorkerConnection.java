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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A connection to a worker. It carries one exchange at a time and nothing is ever sent again on it.
 */
final class WorkerConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * Time for the end of an answer whose outcome is told, before the connection is given up, ms.
     */
    private static final long TAIL_MS = 1_000;

    /**
     * How soon after an answer the next exchange on its connection may still meet that answer a
     * second time, ms; what then names no request is believed once nothing has followed it for as
     * long as the second figure says. A worker's own answer, or its 200 for a job taken, is there
     * within a round trip or two.
     */
    private static final long DOUBT_WITHIN_MS = 100;

    private static final long DOUBT_MS = 50;

    final InetSocketAddress addr;
    private final WorkerConnectionPool owner;
    private Channel channel;
    private HttpExchange exchange;
    private boolean keepAlive;

    /** Whether more answers have come than were asked for. */
    private boolean outOfStep;

    private boolean informational;
    private boolean kept;
    private boolean closing;
    private Future<?> retire;
    private Future<?> tail;
    private long idleSinceNs;

    /**
     * Whether the answer to the exchange before may come a second time and be taken for this one's.
     */
    private boolean doubtful;

    /** A head that is not yet believed, and when it will be. */
    private HttpResponse unbelieved;

    private Future<?> belief;

    WorkerConnection(InetSocketAddress addr, WorkerConnectionPool owner) {
        this.addr = addr;
        this.owner = owner;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Starts an exchange on this connection, which is up and idle. */
    void start(HttpExchange next) {
        if (retire != null) {
            retire.cancel(false);
            retire = null;
            kept = true;
            doubtful =
                    System.nanoTime() - idleSinceNs
                            < TimeUnit.MILLISECONDS.toNanos(DOUBT_WITHIN_MS);
        }
        exchange = next;
        next.connection = this;
        next.begun = true;
        final HttpRequest request;
        try {
            request = next.request();
        } catch (IllegalArgumentException e) {
            // Guards against an attempt without an end: what cannot be put on the wire never runs.
            exceptionCaught(null, e);
            return;
        }
        final BodyTransfer body = next.body();
        channel.writeAndFlush(request)
                .addListener(
                        sent -> {
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
            exchange.body().resume();
        }
    }

    /** Closes this connection after it has been idle for that long. */
    void retireAfter(long idleUs) {
        idleSinceNs = System.nanoTime();
        retire = channel.eventLoop().schedule(this::close, idleUs, TimeUnit.MICROSECONDS);
    }

    boolean isUp() {
        return channel != null && channel.isActive();
    }

    /**
     * Takes in what has come while nothing was asked here: a close, or bytes that nobody is waiting
     * for, end this connection now. Guards a request against being written where the answer to
     * another one, or the end, is to be read first.
     */
    boolean isQuiet() {
        SocketReads.readNow(channel);
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
            // Guards other workers against one that answers twice: that this one was kept tells
            // nothing.
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
                disbelieve();
                keepAlive = HttpUtil.isKeepAlive(response);
                if (doubtful && !response.status().equals(HttpResponseStatus.OK)) {
                    unbelieved = response;
                } else {
                    exchange.head(response);
                }
            }
        }
        if (message instanceof HttpContent content && !informational) {
            if (unbelieved == null) {
                content(content);
            } else if (content instanceof LastHttpContent last) {
                belief =
                        channel.eventLoop()
                                .schedule(
                                        () -> believe(last.trailingHeaders()),
                                        DOUBT_MS,
                                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Whether lines that name another request may be a second answer to the exchange before. */
    boolean isInDoubt() {
        return doubtful;
    }

    /** Another answer follows: the one before was not this exchange's, and proves nothing. */
    private void disbelieve() {
        if (unbelieved != null) {
            unbelieved = null;
            secondCame();
        }
        if (belief != null) {
            belief.cancel(false);
            belief = null;
        }
    }

    private void secondCame() {
        doubtful = false;
        outOfStep = true;
        owner.unasked(addr);
    }

    /** Nothing followed it: it is this exchange's answer. */
    private void believe(HttpHeaders trailers) {
        final HttpResponse head = unbelieved;
        unbelieved = null;
        belief = null;
        doubtful = false;
        exchange.head(head);
        content(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers));
    }

    private void content(HttpContent content) {
        final HttpExchange current = exchange;
        final boolean wasOver = current.over;
        current.content(content.content());
        if (content instanceof LastHttpContent last) {
            if (current.isAnothers()) {
                current.anothersEnded();
                secondCame();
                return;
            }
            forgetTail();
            exchange = null;
            current.last(last.trailingHeaders());
            current.connection = null;
            if (keepAlive && current.written && !outOfStep) {
                owner.idle(this);
            } else {
                close();
            }
        } else if (current.over && !wasOver) {
            // Guards against a worker that tells the outcome and never ends its answer.
            tail = channel.eventLoop().schedule(this::close, TAIL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Guards the heap: a timer left to run out holds its attempt, with the request's body, for a
     * second.
     */
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
        if (belief != null) {
            // Whether it was this exchange's answer will not be known: it ends as broken, and may
            // have run.
            belief.cancel(false);
        }
        owner.closed(this);
        if (!closing && (kept || (exchange == null && keepAlive))) {
            owner.keptOneBroke();
        }
        if (exchange != null) {
            final HttpExchange broken = exchange;
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
