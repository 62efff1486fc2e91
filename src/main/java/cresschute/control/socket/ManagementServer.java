package cresschute.control.socket;

import cresschute.control.ManagementCall;
import cresschute.logs.LogEvent;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Where the platform's operators call: TCP, one line to a connection, answered by one line that
 * begins with {@code 200} or {@code 400}, and then closed. Whoever sends nothing, or half a call,
 * holds only a descriptor: every connection has its own timers and none waits for another. All of
 * it is on the node's loop, so an answer is as late as a turn of that loop at most.
 */
public final class ManagementServer {

    /** A call whose end has not come by then is answered as incomplete, ms. */
    static final long HALF_CALL_MS = 2_000;

    /** A caller that has said nothing by then is let go, ms. */
    static final long SILENT_MS = 5_000;

    private static final Logger LOG = System.getLogger("cresschute.management");

    /** The node's side of it; all calls are on the loop. */
    public interface ManagementHandler {

        /** Carries a call out and answers it once, with a line that begins with 200 or 400. */
        void call(ManagementCall call, Consumer<String> answer);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxCallers;
    private final ManagementHandler handler;
    private final Set<Channel> callers = new LinkedHashSet<>();
    private Channel server;

    /**
     * A server that does not listen yet.
     *
     * @param maxCallers connections held at a time; the next ones are told so and closed
     */
    public ManagementServer(
            EventLoop loop, InetSocketAddress address, int maxCallers, ManagementHandler handler) {
        this.loop = loop;
        this.address = address;
        this.maxCallers = maxCallers;
        this.handler = handler;
    }

    /** Binds; the future fails where nothing can listen there. */
    public ChannelFuture listen() {
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, oneAtATime())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        if (callers.size() >= maxCallers) {
                                            channel.writeAndFlush(
                                                            line(
                                                                    "400 "
                                                                            + maxCallers
                                                                            + " callers are here;"
                                                                            + " call again"))
                                                    .addListener(ChannelFutureListener.CLOSE);
                                            return;
                                        }
                                        callers.add(channel);
                                        channel.closeFuture()
                                                .addListener(closed -> callers.remove(channel));
                                        final Caller caller = new Caller();
                                        channel.pipeline()
                                                .addLast(
                                                        new ChannelInboundHandlerAdapter() {
                                                            @Override
                                                            public void channelRead(
                                                                    ChannelHandlerContext ctx,
                                                                    Object message) {
                                                                caller.begun();
                                                                ctx.fireChannelRead(message);
                                                            }
                                                        },
                                                        new LineBasedFrameDecoder(
                                                                ManagementCall.MAX_LINE + 2,
                                                                true,
                                                                true),
                                                        caller);
                                    }
                                })
                        .bind(address);
        server = bound.channel();
        return bound;
    }

    /**
     * One connection a reading of the listener: a caller too many is closed before the next is
     * accepted.
     */
    private static RecvByteBufAllocator oneAtATime() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    /** Where it listens; once bound. */
    public SocketAddress localAddress() {
        return server.localAddress();
    }

    /** Ends listening and all calls. */
    public void close() {
        if (server != null) {
            server.close();
        }
        Set.copyOf(callers).forEach(Channel::close);
    }

    private static ByteBuf line(String text) {
        return Unpooled.copiedBuffer(
                text.replace('\n', ' ').replace('\r', ' ') + "\n", StandardCharsets.UTF_8);
    }

    /** One connection: its line, its answer, its timers. */
    private final class Caller extends ChannelInboundHandlerAdapter {

        private boolean heard;
        private boolean answered;
        private ScheduledFuture<?> half;
        private ScheduledFuture<?> silent;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            half =
                    loop.schedule(
                            () -> {
                                if (heard && !answered) {
                                    answer(
                                            ctx,
                                            "400 incomplete call: no end of line came within "
                                                    + HALF_CALL_MS
                                                    + " ms");
                                }
                            },
                            HALF_CALL_MS,
                            TimeUnit.MILLISECONDS);
            silent =
                    loop.schedule(
                            () -> {
                                if (!answered) {
                                    answered = true;
                                    ctx.close();
                                }
                            },
                            SILENT_MS,
                            TimeUnit.MILLISECONDS);
            ctx.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            final ByteBuf frame = (ByteBuf) message;
            try {
                if (answered) {
                    return;
                }
                final String text = frame.toString(StandardCharsets.UTF_8);
                final ManagementCall call;
                try {
                    call = ManagementCall.parse(text);
                } catch (ManagementCall.InvalidCallException e) {
                    answer(ctx, "400 " + e.getMessage());
                    return;
                }
                answered = true;
                LogEvent.of("operators_called", "operators call: " + text.strip())
                        .with("call", call.verb().word())
                        .with("worker", String.valueOf(call.worker()))
                        .log(LOG, Level.INFO);
                handler.call(call, answer -> write(ctx, answer));
            } finally {
                frame.release();
            }
        }

        /** Bytes before the decoder has a line: a call has begun. */
        private void begun() {
            heard = true;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                answer(ctx, "400 a call has " + ManagementCall.MAX_LINE + " characters at most");
            } else {
                answered = true;
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answered = true;
            half.cancel(false);
            silent.cancel(false);
            ctx.fireChannelInactive();
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            answered = true;
            write(ctx, text);
        }

        private void write(ChannelHandlerContext ctx, String text) {
            if (ctx.channel().isActive()) {
                ctx.writeAndFlush(line(text)).addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
