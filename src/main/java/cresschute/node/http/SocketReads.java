package cresschute.node.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/** How sockets are read beside Netty's default. Call from the channel's event loop. */
final class SocketReads {

    /** Reads of one connection in one pass of the event loop; Netty's default for sockets. */
    private static final int MAX_READS_PER_PASS = 16;

    private SocketReads() {}

    /**
     * For connections whose close must be seen in the pass of the event loop that reads what came
     * before it. By default a read that does not fill its buffer is the last one of its pass; then
     * a request could be sent for a client that has closed, or a connection be kept that has ended.
     */
    static RecvByteBufAllocator untilEndOfStream() {
        final AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator();
        reads.respectMaybeMoreData(false);
        return reads.maxMessagesPerRead(MAX_READS_PER_PASS);
    }

    /**
     * Reads what has arrived on this channel until now, its close included, and passes it through
     * the pipeline. Not to be called while the channel is being read.
     */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            nio.read();
        }
    }
}
