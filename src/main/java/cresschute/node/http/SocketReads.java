package cresschute.node.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reading a connection at a moment of one's own, and not only when the loop comes to it. On the
 * loop.
 */
final class SocketReads {

    /** Reads of one connection in one pass of the loop, as Netty has it for sockets. */
    private static final int READS_A_PASS = 16;

    private SocketReads() {}

    /**
     * For connections whose end is to be seen in the pass of the loop that reads what came before
     * it: by default a read that leaves room in its buffer is the last one of the pass. Guards
     * against sending a request whose client has left already, and against keeping a connection
     * that has ended behind its answer.
     */
    static RecvByteBufAllocator toTheEnd() {
        final AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator();
        reads.respectMaybeMoreData(false);
        return reads.maxMessagesPerRead(READS_A_PASS);
    }

    /**
     * Hands on what has come on this channel until now, its end included; nothing where nothing
     * has. Not from within that channel's own reading.
     */
    static void now(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            nio.read();
        }
    }
}
