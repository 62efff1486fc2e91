package cresschute.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A listener on loopback and its connections, shared by the stand-ins that accept calls. Runs on
 * one event loop.
 */
public final class LoopbackServer {

    private final EventLoop loop;
    private final Consumer<Channel> pipeline;
    private final Set<Channel> connections = new HashSet<>();
    private Channel server;

    /**
     * Creates a server that does not listen yet; {@code pipeline} adds the handlers to each new
     * connection.
     */
    public LoopbackServer(EventLoop loop, Consumer<Channel> pipeline) {
        this.loop = loop;
        this.pipeline = pipeline;
    }

    /** Listens on a free port. Blocks; must not be called on the event loop. */
    InetSocketAddress listen() {
        return listen(InetAddress.getLoopbackAddress());
    }

    /** Listens on a free port of this address. Blocks; must not be called on the event loop. */
    public InetSocketAddress listen(InetAddress at) {
        server = bind(new InetSocketAddress(at, 0)).syncUninterruptibly().channel();
        return (InetSocketAddress) server.localAddress();
    }

    /** Listens on a former address again. Fails while the port is not free yet. */
    ChannelFuture listenAgain(InetSocketAddress at) {
        return bind(at).addListener(
                        (ChannelFutureListener)
                                bound -> {
                                    if (bound.isSuccess()) {
                                        server = bound.channel();
                                    }
                                });
    }

    private ChannelFuture bind(InetSocketAddress at) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                connections.add(channel);
                                channel.closeFuture()
                                        .addListener(closed -> connections.remove(channel));
                                pipeline.accept(channel);
                            }
                        })
                .bind(at);
    }

    /** Stops accepting connections. */
    void stopListening() {
        server.close();
    }

    /** Resets all connections, as a crashing process does. */
    void resetAll() {
        new ArrayList<>(connections).forEach(LoopbackServer::reset);
    }

    /** Stops accepting connections and closes the open ones. */
    void close() {
        stopListening();
        new ArrayList<>(connections).forEach(Channel::close);
    }

    static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Creates a full response. */
    static DefaultFullHttpResponse answer(HttpResponseStatus status, String body) {
        final DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return response;
    }
}
