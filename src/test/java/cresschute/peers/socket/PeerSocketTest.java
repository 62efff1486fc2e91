package cresschute.peers.socket;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import cresschute.peers.ExchangeSettings;
import cresschute.peers.KeyRange;
import cresschute.peers.LoadEntry;
import cresschute.peers.LoadExchange;
import cresschute.peers.LoadMessage;
import cresschute.peers.LoadMessageCodec;
import cresschute.peers.PeerState;
import cresschute.peers.RejectionReason;
import cresschute.peers.WorkerKeys;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests three exchanges that communicate over loopback sockets. */
@Timeout(60)
class PeerSocketTest {

    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final byte[] KEY = new byte[16];
    private static final String WORKER = "w-1";

    private record Node(LoadExchange exchange, PeerSocket socket, ExchangeLog log) {}

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final long startNs = System.nanoTime();
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> refreshed = new CopyOnWriteArrayList<>();

    private long nowUs() {
        return 1_700_000_000_000_000L + (System.nanoTime() - startNs) / 1_000;
    }

    private <T> T onLoop(Callable<T> call) {
        try {
            return loop.submit(call).get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeEach
    @SuppressWarnings("ReferenceEquality") // Each node sends to all but itself.
    void start() {
        for (int i = 0; i < 3; i++) {
            final ExchangeLog log = new ExchangeLog("n" + i);
            final LoadExchange exchange =
                    new LoadExchange(
                            new ExchangeSettings(
                                    "n" + i, 2, 100_000, ExchangeSettings.DEFAULT_REFRESH_US),
                            nowUs(),
                            log);
            exchange.workerListed(WORKER);
            final PeerSocket socket =
                    new PeerSocket(
                            loop,
                            this::nowUs,
                            exchange,
                            new LoadMessageCodec(KEY),
                            log,
                            refreshed::addAll);
            socket.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .syncUninterruptibly();
            nodes.add(new Node(exchange, socket, log));
        }
        onLoop(
                () -> {
                    for (final Node node : nodes) {
                        node.socket()
                                .sendTo(
                                        nodes.stream()
                                                .filter(other -> other != node)
                                                .map(other -> other.socket().address())
                                                .toList());
                    }
                    return null;
                });
        await().atMost(PATIENCE).until(() -> nodes.stream().allMatch(this::isComplete));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private boolean isComplete(Node node) {
        return onLoop(() -> node.exchange().peers().isComplete(nowUs()));
    }

    private OptionalInt outstanding(Node node) {
        return onLoop(() -> node.exchange().outstanding(nowUs(), WORKER));
    }

    private void send(byte[] bytes, Node to) throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.send(new DatagramPacket(bytes, bytes.length, to.socket().address()));
        }
    }

    @Test
    void countsReachAllPeersAndALeavingPeerIsAbsent() {
        onLoop(
                () -> {
                    nodes.get(0).exchange().attemptStarted(WORKER);
                    nodes.get(1).exchange().attemptStarted(WORKER);
                    nodes.get(2).exchange().attemptStarted(WORKER);
                    return null;
                });
        await().atMost(PATIENCE)
                .until(
                        () ->
                                nodes.stream()
                                        .allMatch(
                                                node ->
                                                        outstanding(node)
                                                                .equals(OptionalInt.of(3))));
        await().atMost(PATIENCE).until(() -> refreshed.contains(WORKER));
        await().atMost(PATIENCE).until(() -> onLoop(() -> nodes.get(2).socket().leave()));
        await().atMost(PATIENCE).until(() -> outstanding(nodes.get(0)).equals(OptionalInt.of(2)));
        assertThat(onLoop(() -> nodes.get(0).exchange().peers().states(nowUs())))
                .containsEntry(WorkerKeys.hash("n2"), PeerState.ABSENT);
    }

    @Test
    void forgedTruncatedAndOversizedDatagramsChangeNothing() throws Exception {
        final Node node = nodes.get(0);
        final LoadMessage forgedMessage =
                new LoadMessage(
                        WorkerKeys.hash("n1"),
                        Long.MAX_VALUE,
                        9,
                        9,
                        false,
                        new KeyRange(KeyRange.MIN_KEY, KeyRange.MAX_KEY),
                        List.of(new LoadEntry(WorkerKeys.hash(WORKER), 1_000)));
        final byte[] forged =
                new LoadMessageCodec(
                                "not the right key"
                                        .getBytes(java.nio.charset.StandardCharsets.UTF_8))
                        .encode(forgedMessage);
        send(forged, node);
        send(Arrays.copyOf(forged, 20), node);
        send(new byte[0], node);
        send(new byte[2_000], node);
        final byte[] other = new LoadMessageCodec(KEY).encode(forgedMessage);
        other[0] = 2;
        send(other, node);
        await().atMost(PATIENCE).until(() -> onLoop(() -> allAreRejected(node.log())));
        assertThat(outstanding(node)).hasValue(0);
        assertThat(isComplete(node)).isTrue();
    }

    private static boolean allAreRejected(ExchangeLog log) {
        return log.rejected(RejectionReason.NOT_AUTHENTIC) == 1
                && log.rejected(RejectionReason.TOO_SHORT) == 2
                && log.rejected(RejectionReason.TOO_LONG) == 1
                && log.rejected(RejectionReason.OTHER_VERSION) == 1;
    }
}
