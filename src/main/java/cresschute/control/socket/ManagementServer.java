package cresschute.control.socket;

import cresschute.control.ManagementCall;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The management listener of the platform's operators: TCP, one call and one answer a connection,
 * which is then closed. It owns the listening channel and the accepted ones, each a {@link
 * ManagementSession}.
 *
 * <p>Life: {@link #listen} once, {@link #close} once. All of it is on the node's loop, save {@link
 * #listen}, which may be called on any thread. Connections do not wait for each other; when a call
 * is answered is up to the {@link ManagementHandler}.
 */
public final class ManagementServer {

    /** Bytes of the longest end of line, CR LF. */
    private static final int LINE_END_LENGTH = 2;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final ManagementHandler handler;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private Channel server;

    /**
     * A server that does not listen yet.
     *
     * @param maxConnections connections at a time; a further one gets a 400 answer and is closed
     */
    public ManagementServer(
            EventLoop loop,
            InetSocketAddress address,
            int maxConnections,
            ManagementHandler handler) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = maxConnections;
        this.handler = handler;
    }

    /** Binds. The future fails if the address cannot be listened on. */
    public ChannelFuture listen() {
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, oneAcceptPerRead())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(address);
        server = bound.channel();
        return bound;
    }

    /** A caller over the limit is closed before the next one is accepted. */
    private static RecvByteBufAllocator oneAcceptPerRead() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    private void accept(Channel channel) {
        if (connections.size() >= maxConnections) {
            channel.writeAndFlush(
                            ManagementSession.line(
                                    "400 " + maxConnections + " callers are here; call again"))
                    .addListener(ChannelFutureListener.CLOSE);
            return;
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        final ManagementSession session = new ManagementSession(loop, handler);
        channel.pipeline()
                .addLast(
                        session.firstBytesDetector(),
                        new LineBasedFrameDecoder(
                                ManagementCall.MAX_LINE_LENGTH + LINE_END_LENGTH, true, true),
                        session);
    }

    /** The address that it listens on, once bound. */
    public SocketAddress localAddress() {
        return server.localAddress();
    }

    /** Closes the listener and all connections. */
    public void close() {
        if (server != null) {
            server.close();
        }
        Set.copyOf(connections).forEach(Channel::close);
    }
}
