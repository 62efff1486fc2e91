package cresschute.node.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Ways to read sockets that differ from Netty's default. Call from the channel's event loop. */
final class SocketReads {

    private SocketReads() {}

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
