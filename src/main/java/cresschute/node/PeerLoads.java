package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.peers.ExchangeSettings;
import cresschute.peers.LoadExchange;
import cresschute.peers.LoadMessageCodec;
import cresschute.peers.socket.ExchangeLog;
import cresschute.peers.socket.PeerSocket;
import cresschute.settings.NodeSettings.Peers;
import cresschute.settings.SettingsFile;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Consumer;

/**
 * Tracks the load of workers by gossip among the dispatchers of a site: assembles the exchange, its
 * socket and its log for one node. Only a node whose settings name peers creates an instance, so
 * that other nodes do not load its classes. Life cycle: {@link #onRefresh}, {@link #listen}, {@link
 * #leave}; call everything except the constructor on the event loop, or before the loop runs.
 */
final class PeerLoads implements LoadTracker {

    private final Clock clock;
    private final LoadExchange exchange;
    private final PeerSocket socket;
    private final List<InetSocketAddress> addresses;
    private Consumer<List<String>> onRefresh = workers -> {};

    /**
     * Creates an instance without binding its socket. Reads the key file, so do not call it on the
     * event loop.
     *
     * @throws IOException if the key file cannot be read, or its key is too short
     */
    PeerLoads(NodeConfig config, EventLoop loop, Clock clock) throws IOException {
        final Peers peers = config.peers();
        final byte[] key = SettingsFile.readKey(peers.keyFile());
        if (key.length < LoadMessageCodec.MIN_KEY_BYTES) {
            throw new IOException("it has " + key.length + " bytes");
        }
        this.clock = clock;
        final ExchangeLog log = new ExchangeLog(config.name());
        exchange =
                new LoadExchange(
                        new ExchangeSettings(
                                config.name(),
                                peers.addresses().size(),
                                peers.bytesPerS(),
                                ExchangeSettings.DEFAULT_REFRESH_US),
                        clock.nowUs(),
                        log);
        socket =
                new PeerSocket(
                        loop,
                        clock::nowUs,
                        exchange,
                        new LoadMessageCodec(key),
                        log,
                        workers -> onRefresh.accept(workers));
        addresses = peers.addresses();
    }

    /** Binds the socket and starts gossip; the future fails if the address cannot be bound. */
    ChannelFuture listen(SocketAddress address) {
        final ChannelFuture bound = socket.listen(address);
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        socket.sendTo(addresses);
                    }
                });
        return bound;
    }

    /**
     * Stops gossip and notifies the peers; call it repeatedly until it returns true.
     *
     * @return true once the peers were notified or the time for it has passed
     */
    boolean leave() {
        return socket.leave();
    }

    /**
     * Sets the listener that is notified of workers whose load has changed; call before {@link
     * #listen}.
     */
    void onRefresh(Consumer<List<String>> listener) {
        onRefresh = listener;
    }

    /** Returns true if the counts of all peers are known now. */
    boolean isComplete() {
        return exchange.peers().isComplete(clock.nowUs());
    }

    /** The address of its socket, once it is bound. */
    InetSocketAddress address() {
        return socket.address();
    }

    @Override
    public void listed(String worker) {
        exchange.workerListed(worker);
    }

    @Override
    public void started(String worker) {
        exchange.attemptStarted(worker);
    }

    @Override
    public void ended(String worker) {
        exchange.attemptEnded(worker);
    }

    @Override
    public void reported(String worker, LoadReport report) {
        exchange.loadReported(clock.nowUs(), worker, report.outstanding());
    }

    @Override
    public OptionalInt outstanding(String worker) {
        return exchange.outstanding(clock.nowUs(), worker);
    }
}
