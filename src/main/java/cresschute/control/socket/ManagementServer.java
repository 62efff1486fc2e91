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
 * The management listener of the platform's operators. It uses TCP: each connection carries one
 * call and one answer and is then closed. It owns the listening channel and the accepted channels,
 * each with a {@link ManagementSession}.
 *
 * <p>Life cycle: {@link #listen} once, {@link #close} once. All methods run on the node's event
 * loop, except {@link #listen}, which may be called on any thread. Connections are independent of
 * each other; the {@link ManagementHandler} decides when a call is answered.
 */
public final class ManagementServer {

    /** Length of the longest line end, CR LF, in bytes. */
    private static final int LINE_END_LENGTH = 2;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final ManagementHandler handler;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private Channel server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param maxConnections the maximum number of open connections; a further one gets a 400 answer
     *     and is closed
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

    /** Binds the address. The returned future fails if that is not possible. */
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

    /**
     * Accepts one connection per read, so that a connection over the limit is closed before the
     * next one is accepted.
     */
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

    /** Returns the bound address; call only once bound. */
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
