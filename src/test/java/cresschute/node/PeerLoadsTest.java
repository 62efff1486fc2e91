package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import cresschute.peers.KeyRange;
import cresschute.peers.LoadEntry;
import cresschute.peers.LoadMessage;
import cresschute.peers.LoadMessageCodec;
import cresschute.peers.WorkerKeys;
import cresschute.settings.NodeSettings;
import cresschute.settings.NodeSettings.Peers;
import cresschute.settings.SettingsFile;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a node with its dispatcher, two workers, and two peers whose messages the test sends. */
@Timeout(60)
class PeerLoadsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int REQUESTS = 4;

    /**
     * More requests than needed, because a machine that stalls for 3 s makes the node's view of its
     * peers incomplete. The limit is low because below 32 lookups none is verified at the worker.
     */
    private static final int MAX_REQUESTS = 8;

    /** A worker that counts the load queries and jobs that it receives, and answers at once. */
    private static final class Worker implements AutoCloseable {
        private final HttpServer server;
        private final AtomicInteger loadQueries = new AtomicInteger();
        private final AtomicInteger jobs = new AtomicInteger();

        Worker() throws IOException {
            server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.createContext("/", this::answer);
            server.start();
        }

        private void answer(HttpExchange exchange) throws IOException {
            exchange.getRequestBody().readAllBytes();
            final boolean loadQuery = exchange.getRequestMethod().equals("GET");
            (loadQuery ? loadQueries : jobs).incrementAndGet();
            final byte[] body =
                    (loadQuery
                                    ? "{\"outstanding\":0}"
                                    : "{\"id\":\""
                                            + exchange.getRequestHeaders().getFirst("X-Request-Id")
                                            + "\",\"state\":\"done\",\"result\":\"yes\"}\n")
                            .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    @TempDir private Path folder;
    private final DatagramSocket[] peers = new DatagramSocket[2];
    private Worker busy;
    private Worker idle;
    private NodeServer node;
    private SocketAddress address;
    private LoadMessageCodec codec;
    private long sequence;

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        }
        busy = new Worker();
        idle = new Worker();
        final Path key = Files.writeString(folder.resolve("key"), "the key of this test\n");
        codec = new LoadMessageCodec(SettingsFile.readKey(key.toString()));
        final Peers exchange =
                new Peers(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        List.of(at(peers[0]), at(peers[1])),
                        key.toString(),
                        3_000);
        final NodeConfig config = NodeConfig.of(settings(), 7);
        node =
                new NodeServer(
                        new NodeConfig(
                                config.name(),
                                config.listen(),
                                config.discovery(),
                                config.seed(),
                                config.settings(),
                                config.classes(),
                                config.zones(),
                                config.kinds(),
                                config.timeouts(),
                                config.maxDescriptors(),
                                config.initialEndpoints(),
                                null,
                                null,
                                null,
                                OperatorSettings.NONE,
                                ConfigKeys.NONE,
                                exchange));
        address = node.start();
    }

    private NodeSettings settings() {
        return SettingsFile.parse(
                        """
                        node(name = "n0", listen = "127.0.0.1:0", dispatchers = 3)
                        limits(probes = True)
                        job_class(name = "check", worth = 1, aim = 1 * s, deadline = 10 * s, effect = "safe")
                        worker(id = "busy", address = "127.0.0.1:%d")
                        worker(id = "idle", address = "127.0.0.1:%d")
                        """
                                .formatted(
                                        busy.server.getAddress().getPort(),
                                        idle.server.getAddress().getPort()))
                .settings();
    }

    private static InetSocketAddress at(DatagramSocket socket) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }

    @AfterEach
    void stop() {
        node.halt();
        busy.close();
        idle.close();
        for (final DatagramSocket peer : peers) {
            peer.close();
        }
    }

    /** Each peer claims two requests at the busy worker. */
    private void sendPeerMessages() throws IOException {
        sequence++;
        for (int i = 0; i < peers.length; i++) {
            final byte[] bytes =
                    codec.encode(
                            new LoadMessage(
                                    WorkerKeys.hash("n" + (i + 1)),
                                    1,
                                    sequence,
                                    1,
                                    false,
                                    KeyRange.EMPTY,
                                    List.of(new LoadEntry(WorkerKeys.hash("busy"), 2))));
            peers[i].send(new DatagramPacket(bytes, bytes.length, node.peers().address()));
        }
    }

    private boolean isComplete() throws Exception {
        return node.loop()
                .submit(() -> node.peers().isComplete())
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private void request(String id) throws IOException {
        try (Peer client = Peer.connect(address)) {
            client.write(TestNode.request(id, "", ""));
            assertThat(client.read()).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void selectsWorkersByPeerCountsWithoutLoadQueriesUntilPeersFail() throws Exception {
        int completeRequests = 0;
        for (int i = 0; completeRequests < REQUESTS && i < MAX_REQUESTS; i++) {
            sendPeerMessages();
            await().atMost(TIMEOUT).until(this::isComplete);
            final int loadQueries = busy.loadQueries.get() + idle.loadQueries.get();
            final int jobs = idle.jobs.get();
            request("r" + i);
            // The view is still complete and no message came meanwhile, so it was complete
            // throughout.
            if (isComplete()) {
                assertThat(busy.loadQueries.get() + idle.loadQueries.get())
                        .as("load queries")
                        .isEqualTo(loadQueries);
                assertThat(idle.jobs.get()).as("jobs at the idle worker").isEqualTo(jobs + 1);
                completeRequests++;
            }
        }
        assertThat(completeRequests).as("requests under a complete view").isEqualTo(REQUESTS);
        // Both peers stop sending: the view becomes incomplete, and the node queries the workers.
        await().atMost(TIMEOUT).until(() -> !isComplete());
        for (int i = 0; busy.loadQueries.get() + idle.loadQueries.get() == 0 && i < 20; i++) {
            request("s" + i);
        }
        assertThat(busy.loadQueries.get() + idle.loadQueries.get()).as("load queries").isPositive();
    }

    @Test
    void sendsOwnCountsToPeers() throws Exception {
        peers[0].setSoTimeout((int) TIMEOUT.toMillis());
        final DatagramPacket packet = new DatagramPacket(new byte[2_000], 2_000);
        peers[0].receive(packet);
        final byte[] bytes = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
        final LoadMessage message = codec.decode(bytes);
        assertThat(message.sender()).isEqualTo(WorkerKeys.hash("n0"));
        assertThat(message.sequence()).isEqualTo(1);
    }
}
