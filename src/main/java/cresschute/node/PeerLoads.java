package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.peers.ExchangeSettings;
import cresschute.peers.LoadExchange;
import cresschute.peers.LoadMessageCodec;
import cresschute.peers.socket.ExchangeLog;
import cresschute.peers.socket.PeerSocket;
import cresschute.settings.ApplianceSettings.Peers;
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
 * Workers' load as the dispatchers of one site announce it to each other: the exchange, its socket
 * and its log, put together for one node. A node whose settings name no peers has none, and loads
 * none of its classes.
 */
final class PeerLoads implements LoadKnowledge {

    private final Clock clock;
    private final LoadExchange exchange;
    private final PeerSocket socket;
    private final List<InetSocketAddress> addresses;
    private Consumer<List<String>> onRefresh = workers -> {};

    /**
     * Reads the key file, so not on the loop; a key that cannot be used is an {@code IOException}.
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

    /** Begins to exchange; the future fails where the address cannot be had. */
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

    /** Says that this dispatcher stops; whether that is done or given up. On the loop. */
    boolean leave() {
        return socket.leave();
    }

    /** Gives the workers whose load is known anew to this from now on. Before it listens. */
    void onRefresh(Consumer<List<String>> listener) {
        onRefresh = listener;
    }

    /** Whether its view is complete now. On the loop. */
    boolean isComplete() {
        return exchange.peers().isComplete(clock.nowUs());
    }

    /** Where it takes datagrams, once it listens. */
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
