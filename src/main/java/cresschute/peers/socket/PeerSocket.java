package cresschute.peers.socket;

import cresschute.logs.RepeatedTask;
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
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The UDP socket of an exchange: sends due messages to all peers, and receives theirs.
 *
 * <p>Life cycle: {@link #listen} binds it, {@link #sendTo} starts the timer, {@link #leave} sends
 * the last message; the channel is closed with its event loop. All methods must be called on that
 * event loop, except {@link #listen}, and {@link #address} once the socket is bound.
 */
public final class PeerSocket {

    /** Time between two polls of the exchange, milliseconds. */
    private static final long POLL_INTERVAL_MS = 50;

    /**
     * The longest time that a stop waits until the last message fits into the byte budget,
     * microseconds.
     */
    private static final long MAX_LEAVE_US = 1_000_000;

    private final EventLoop loop;
    private final LongSupplier clockUs;
    private final LoadExchange exchange;
    private final LoadMessageCodec codec;
    private final ExchangeLog log;
    private final Consumer<List<String>> onRefresh;
    private List<InetSocketAddress> peers = List.of();
    private Channel channel;
    private OptionalLong leavingSinceUs = OptionalLong.empty();
    private boolean leaveSent;

    /**
     * Creates a socket that is not bound yet.
     *
     * @param clockUs the exchange's clock, microseconds
     * @param onRefresh called after each poll with the names of the workers whose counts were
     *     received, possibly none
     */
    public PeerSocket(
            EventLoop loop,
            LongSupplier clockUs,
            LoadExchange exchange,
            LoadMessageCodec codec,
            ExchangeLog log,
            Consumer<List<String>> onRefresh) {
        this.loop = loop;
        this.clockUs = clockUs;
        this.exchange = exchange;
        this.codec = codec;
        this.log = log;
        this.onRefresh = onRefresh;
    }

    /** Binds the socket and starts to receive. The future fails if the address cannot be bound. */
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

    /** Starts to send to these peers. Must be called after the socket is bound. */
    public void sendTo(List<InetSocketAddress> addresses) {
        peers = List.copyOf(addresses);
        loop.scheduleWithFixedDelay(
                new RepeatedTask("peers", this::poll), 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The address to which the socket is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    private void poll() {
        if (channel.isOpen() && leavingSinceUs.isEmpty()) {
            final long nowUs = clockUs.getAsLong();
            exchange.poll(nowUs).ifPresent(this::send);
            log.logChanges(nowUs, exchange.peers());
            onRefresh.accept(exchange.takeRefreshed(nowUs));
        }
    }

    /**
     * Stops gossip: sends the message that this dispatcher leaves as soon as the message fits into
     * the byte budget. The caller repeats the call until it returns true; from the first call on,
     * nothing else is sent.
     *
     * @return whether the message was sent, or a second has passed
     */
    public boolean leave() {
        final long nowUs = clockUs.getAsLong();
        if (leavingSinceUs.isEmpty()) {
            leavingSinceUs = OptionalLong.of(nowUs);
        }
        if (!leaveSent) {
            exchange.leave(nowUs)
                    .ifPresent(
                            message -> {
                                send(message);
                                leaveSent = true;
                            });
        }
        return leaveSent || nowUs - leavingSinceUs.getAsLong() >= MAX_LEAVE_US;
    }

    private void send(LoadMessage message) {
        final byte[] bytes = codec.encode(message);
        for (final InetSocketAddress peer : peers) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer))
                    .addListener(
                            done -> {
                                if (!done.isSuccess()) {
                                    log.socketFailed(
                                            clockUs.getAsLong(),
                                            "message to "
                                                    + ExchangeLog.text(peer)
                                                    + " not sent and not retried",
                                            done.cause());
                                }
                            });
        }
        log.messageSent((long) (bytes.length + LoadGossiper.HEADER_BYTES) * peers.size());
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            final long nowUs = clockUs.getAsLong();
            try {
                final LoadMessage message = codec.decode(ByteBufUtil.getBytes(packet.content()));
                exchange.receive(nowUs, message);
                log.messageReceived(message.sender(), packet.sender());
            } catch (RejectedMessageException e) {
                log.rejected(nowUs, e.reason(), packet.sender());
            }
        }

        /** A receive failed, for example by an ICMP "port unreachable"; the socket stays open. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.socketFailed(
                    clockUs.getAsLong(),
                    "receiving from peers failed; the socket stays open",
                    cause);
        }
    }
}
