package cresschute.node.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/** Ways to read sockets that differ from Netty's default. Call from the channel's event loop. */
final class SocketReads {

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;

    /**
     * The largest read buffer, bytes. A connection keeps its last one while a head is incomplete,
     * so the connections that the descriptors allow must not exhaust the direct memory by that.
     */
    private static final int MAX_READ_BYTES = 8 * 1024;

    /** The maximum number of bytes read from one connection per pass of the event loop. */
    private static final int MAX_BYTES_PER_PASS = 1024 * 1024;

    private static final int MAX_READS_PER_PASS = MAX_BYTES_PER_PASS / MAX_READ_BYTES;

    private SocketReads() {}

    /**
     * Returns an allocator for connections whose close must be noticed in the same pass of the
     * event loop that reads the last bytes before it. By default, a read that does not fill its
     * buffer is the last one of its pass. The node could then send a request for a client that has
     * closed, or keep a connection that has ended.
     */
    static RecvByteBufAllocator untilEndOfStream() {
        final AdaptiveRecvByteBufAllocator reads =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        reads.respectMaybeMoreData(false);
        return reads.maxMessagesPerRead(MAX_READS_PER_PASS);
    }

    /**
     * Reads the bytes that have arrived on this channel, and its close, and passes them through the
     * pipeline. Must not be called while the channel is being read.
     */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            nio.read();
        }
    }
}
