package cresschute.peers.socket;

import cresschute.peers.LoadExchange;
import cresschute.peers.LoadGossiper;
import cresschute.peers.LoadMessage;
import cresschute.peers.LoadMessageCodec;
import cresschute.peers.RejectedMessageException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The exchange's datagrams on the node's own event loop: sends what is due, takes in what comes.
 */
public final class PeerSocket {

    /** How often it is seen whether a message is due, ms. */
    private static final long POLL_MS = 50;

    /** The longest that a stop waits for the budget to hold the last message, us. */
    private static final long MAX_LEAVE_US = 1_000_000;

    private final EventLoop loop;
    private final LongSupplier clockUs;
    private final LoadExchange exchange;
    private final LoadMessageCodec codec;
    private final ExchangeLog log;
    private final Consumer<List<String>> refreshed;
    private List<InetSocketAddress> peers = List.of();
    private Channel channel;
    private long leavingSinceUs = -1;
    private boolean left;

    /**
     * A socket that is not bound yet; {@code clockUs} is the exchange's clock, and {@code
     * refreshed} is given the workers whose load is known anew.
     */
    public PeerSocket(
            EventLoop loop,
            LongSupplier clockUs,
            LoadExchange exchange,
            LoadMessageCodec codec,
            ExchangeLog log,
            Consumer<List<String>> refreshed) {
        this.loop = loop;
        this.clockUs = clockUs;
        this.exchange = exchange;
        this.codec = codec;
        this.log = log;
        this.refreshed = refreshed;
    }

    /** Binds and takes in what comes; the future fails where the address cannot be had. */
    public ChannelFuture listen(SocketAddress address) {
        final ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Receiver())
                        .bind(address);
        bound.addListener(
                (ChannelFutureListener)
                        done -> {
                            if (done.isSuccess()) {
                                channel = done.channel();
                            }
                        });
        return bound;
    }

    /** Begins to send to these, once it listens. On the loop. */
    public void sendTo(List<InetSocketAddress> addresses) {
        peers = List.copyOf(addresses);
        loop.scheduleWithFixedDelay(this::tick, 0, POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** Where it takes datagrams, once it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    private void tick() {
        if (channel.isOpen() && leavingSinceUs < 0) {
            final long nowUs = clockUs.getAsLong();
            exchange.poll(nowUs).ifPresent(this::send);
            log.look(nowUs, exchange.peers());
            refreshed.accept(exchange.takeRefreshed(nowUs));
        }
    }

    /**
     * Says that this dispatcher stops, as soon as the budget holds it; to be called until it
     * returns true. Nothing is sent after that. On the loop.
     */
    public boolean leave() {
        final long nowUs = clockUs.getAsLong();
        leavingSinceUs = leavingSinceUs < 0 ? nowUs : leavingSinceUs;
        if (!left) {
            exchange.leave(nowUs)
                    .ifPresent(
                            message -> {
                                send(message);
                                left = true;
                            });
        }
        return left || nowUs - leavingSinceUs >= MAX_LEAVE_US;
    }

    private void send(LoadMessage message) {
        final byte[] bytes = codec.encode(message);
        for (final InetSocketAddress peer : peers) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer))
                    .addListener(
                            done -> {
                                if (!done.isSuccess()) {
                                    log.failed(
                                            clockUs.getAsLong(),
                                            "message to " + ExchangeLog.text(peer) + " not sent",
                                            done.cause());
                                }
                            });
        }
        log.sent((long) (bytes.length + LoadGossiper.HEADER_BYTES) * peers.size());
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            final long nowUs = clockUs.getAsLong();
            try {
                final LoadMessage message = codec.decode(ByteBufUtil.getBytes(packet.content()));
                exchange.receive(nowUs, message);
                log.taken(message.sender(), packet.sender());
            } catch (RejectedMessageException e) {
                log.refused(nowUs, e.reason(), packet.sender());
            }
        }

        /**
         * Guards the exchange against a receive that fails, such as a port unreachable reported by
         * ICMP.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.failed(clockUs.getAsLong(), "no message received", cause);
        }
    }
}
