package cresschute.control.socket;

import cresschute.control.InvalidManagementCallException;
import cresschute.control.ManagementCall;
import cresschute.logs.LogEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * One operator's connection: reads one call, writes one answer and closes. It owns two timers. A
 * caller that sends nothing or an incomplete call uses one connection and does not delay other
 * callers.
 *
 * <p>Life cycle: from the accepted connection to its close. All methods run on the node's event
 * loop.
 */
final class ManagementSession extends ChannelInboundHandlerAdapter {

    /** Time after which a call without a line end is answered as incomplete, milliseconds. */
    static final long INCOMPLETE_CALL_TIMEOUT_MS = 2_000;

    /**
     * Time after which a connection is closed if no call has been passed to the handler and no
     * answer sent, milliseconds.
     */
    static final long IDLE_TIMEOUT_MS = 5_000;

    private static final Logger LOG = System.getLogger("cresschute.management");

    private final EventLoop loop;
    private final ManagementHandler handler;
    private boolean callStarted;
    private boolean answered;
    private ScheduledFuture<?> incompleteCallTimer;
    private ScheduledFuture<?> idleTimer;

    /** Creates the handler of one connection on this event loop. */
    ManagementSession(EventLoop loop, ManagementHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Encodes an answer as one line; line breaks in the text become spaces. */
    static ByteBuf line(String text) {
        return Unpooled.copiedBuffer(
                text.replace('\n', ' ').replace('\r', ' ') + "\n", StandardCharsets.UTF_8);
    }

    /**
     * Returns a handler for the position before the line decoder, which records that a call has
     * started.
     */
    ChannelHandler firstBytesDetector() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                callStarted = true;
                ctx.fireChannelRead(message);
            }
        };
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        incompleteCallTimer =
                loop.schedule(
                        () -> answerIncompleteCall(ctx),
                        INCOMPLETE_CALL_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
        idleTimer = loop.schedule(() -> closeIfIdle(ctx), IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        ctx.fireChannelActive();
    }

    private void answerIncompleteCall(ChannelHandlerContext ctx) {
        if (callStarted && !answered) {
            answer(
                    ctx,
                    "400 incomplete call: no end of line came within "
                            + INCOMPLETE_CALL_TIMEOUT_MS
                            + " ms");
        }
    }

    private void closeIfIdle(ChannelHandlerContext ctx) {
        if (!answered) {
            answered = true;
            ctx.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        final ByteBuf frame = (ByteBuf) message;
        try {
            if (!answered) {
                read(ctx, frame.toString(StandardCharsets.UTF_8));
            }
        } finally {
            frame.release();
        }
    }

    private void read(ChannelHandlerContext ctx, String line) {
        final ManagementCall call;
        try {
            call = ManagementCall.parse(line);
        } catch (InvalidManagementCallException e) {
            answer(ctx, "400 " + e.getMessage());
            return;
        }
        // The handler answers, possibly later: the timers have no effect and further lines are
        // ignored.
        answered = true;
        LogEvent.of("operators_called", "operators call: " + line.strip())
                .with("call", call.command().word())
                .with("worker", String.valueOf(call.worker()))
                .log(LOG, Level.INFO);
        handler.call(call, answer -> write(ctx, answer));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            answer(ctx, "400 a call has " + ManagementCall.MAX_LINE_LENGTH + " characters at most");
        } else {
            answered = true;
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        answered = true;
        incompleteCallTimer.cancel(false);
        idleTimer.cancel(false);
        ctx.fireChannelInactive();
    }

    private void answer(ChannelHandlerContext ctx, String text) {
        answered = true;
        write(ctx, text);
    }

    private static void write(ChannelHandlerContext ctx, String text) {
        if (ctx.channel().isActive()) {
            ctx.writeAndFlush(line(text)).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
