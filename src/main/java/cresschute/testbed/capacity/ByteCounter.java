package cresschute.testbed.capacity;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Channel handler next to the socket that counts the bytes read and written and records when the
 * first byte of a message arrived.
 */
final class ByteCounter extends ChannelDuplexHandler {

    private final LongSupplier clock;
    private final LongConsumer byteListener;
    private long firstByteUs;
    private long readBytes;

    /** {@code byteListener} gets the size of each buffer that is read or written, in bytes. */
    ByteCounter(LongSupplier clock, LongConsumer byteListener) {
        this.clock = clock;
        this.byteListener = byteListener;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            firstByteUs = firstByteUs == 0 ? clock.getAsLong() : firstByteUs;
            readBytes += bytes.readableBytes();
            byteListener.accept(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            byteListener.accept(bytes.readableBytes());
        }
        ctx.write(message, promise);
    }

    /** Arrival time of the first byte since the last call of {@link #takeReadBytes}, us; else 0. */
    long firstByteUs() {
        return firstByteUs;
    }

    /** Returns the number of bytes read since the last call, and resets it. */
    long takeReadBytes() {
        final long bytes = readBytes;
        readBytes = 0;
        firstByteUs = 0;
        return bytes;
    }
}
