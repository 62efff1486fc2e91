package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes the output of one connection in pieces of at most {@value #PIECE_BYTES} bytes, each once
 * the piece before is written. Netty copies what is written into direct memory; by that a
 * connection whose peer takes nothing holds one piece of direct memory, and the rest stays in the
 * heap, where its owner counts it.
 *
 * <p>Owns the queue of output; the first handler of its pipeline. One per connection; call from the
 * event loop.
 */
final class PacedOutput extends ChannelDuplexHandler {

    static final int PIECE_BYTES = 8 * 1024;

    private final Runnable onPieceWritten;
    private final Deque<Output> queue = new ArrayDeque<>(1);
    private long queuedBytes;

    /** Whether a piece was written to the channel and its completion is awaited. */
    private boolean pieceInFlight;

    private record Output(ByteBuf bytes, ChannelPromise promise) {}

    /** Creates an empty output that tells nobody of its progress. */
    PacedOutput() {
        this(() -> {});
    }

    /**
     * Creates an empty output.
     *
     * @param onPieceWritten called when the peer has taken a piece of output that had to wait
     */
    PacedOutput(Runnable onPieceWritten) {
        this.onPieceWritten = onPieceWritten;
    }

    /** The bytes that are not handed to the channel yet. */
    long queuedBytes() {
        return queuedBytes;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf bytes)) {
            ctx.write(message, promise);
            return;
        }
        if (queue.isEmpty() && !pieceInFlight && fitsIntoPiece(ctx.channel(), bytes)) {
            ctx.write(message, promise);
            return;
        }
        queue.add(new Output(inHeap(bytes), promise));
        queuedBytes += queue.peekLast().bytes().readableBytes();
    }

    /** Returns the same bytes in the heap, where output waits. */
    private static ByteBuf inHeap(ByteBuf bytes) {
        if (bytes.hasArray()) {
            return bytes;
        }
        final ByteBuf copy =
                Unpooled.buffer(bytes.readableBytes())
                        .writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        bytes.release();
        return copy;
    }

    private static boolean fitsIntoPiece(Channel channel, ByteBuf bytes) {
        final ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null
                && pending.totalPendingWriteBytes() + bytes.readableBytes() <= PIECE_BYTES;
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        ctx.flush();
        writePieces(ctx);
    }

    private void writePieces(ChannelHandlerContext ctx) {
        while (!pieceInFlight && !queue.isEmpty()) {
            final ChannelFuture piece = writePiece(ctx);
            pieceInFlight = true;
            ctx.flush();
            if (piece.isDone()) {
                pieceInFlight = false;
            } else {
                piece.addListener(
                        done -> {
                            pieceInFlight = false;
                            writePieces(ctx);
                            onPieceWritten.run();
                        });
            }
        }
    }

    /** Writes the next piece; the promise of its output completes with the last piece of it. */
    private ChannelFuture writePiece(ChannelHandlerContext ctx) {
        final Output next = queue.peek();
        final int count = Math.min(PIECE_BYTES, next.bytes().readableBytes());
        queuedBytes -= count;
        if (count == next.bytes().readableBytes()) {
            queue.poll();
            return ctx.write(next.bytes(), next.promise());
        }
        return ctx.write(next.bytes().readRetainedSlice(count));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failQueued();
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        failQueued();
    }

    private void failQueued() {
        queuedBytes = 0;
        for (Output next = queue.poll(); next != null; next = queue.poll()) {
            ReferenceCountUtil.release(next.bytes());
            next.promise().tryFailure(new ClosedChannelException());
        }
    }
}
