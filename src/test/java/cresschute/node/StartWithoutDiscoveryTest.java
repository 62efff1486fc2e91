package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.ProgramProcess;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a node that starts while discovery is down becomes ready with the list in its
 * configuration and serves requests with it.
 */
@Timeout(60)
class StartWithoutDiscoveryTest {

    private static final int WORKERS = 1_400;

    @TempDir private Path folder;

    private ProgramProcess start(ServerSocket discovery, AnsweringWorker worker) throws Exception {
        final String known =
                TestNode.list(
                        3,
                        true,
                        IntStream.range(0, WORKERS)
                                .mapToObj(
                                        i ->
                                                TestNode.entry("s-" + i, worker.server, "SERVING")
                                                        .replace(
                                                                "127.0.0.1",
                                                                "127.0."
                                                                        + (1 + i / 250)
                                                                        + "."
                                                                        + (1 + i % 250)))
                                .collect(Collectors.joining(",")));
        final Path config = folder.resolve("config.json");
        Files.writeString(config, TestNode.config(discovery, known));
        final ProcessBuilder builder =
                new ProcessBuilder(
                        ProgramProcess.platformCommand(
                                List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"), "serve"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        return ProgramProcess.start(builder);
    }

    private static void checkReadyAndServing(ProgramProcess node, AnsweringWorker worker)
            throws Exception {
        final InetSocketAddress address =
                new InetSocketAddress(
                        "127.0.0.1", ProgramProcess.portIn(node.awaitLine(" listens on ")));
        try (Peer client = Peer.connect(address)) {
            // The initial list is published before the listener opens, so the node is ready
            // immediately.
            client.write("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n");
            assertThat(client.read()).startsWith("HTTP/1.1 200");
            client.write(TestNode.request("r1", "", ""));
            assertThat(client.read()).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nyes");
        }
        assertThat(worker.jobs()).isEqualTo(1);
    }

    @Test
    void isReadyWhenDiscoveryRefusesConnections() throws Exception {
        final ServerSocket closed = Peer.listen();
        closed.close();
        try (AnsweringWorker worker = new AnsweringWorker(false);
                ProgramProcess node = start(closed, worker)) {
            checkReadyAndServing(node, worker);
            node.awaitLine("discovery call failed");
        }
    }

    @Test
    void isReadyWhenDiscoveryDoesNotAnswer() throws Exception {
        try (ServerSocket discovery = Peer.listen();
                AnsweringWorker worker = new AnsweringWorker(false);
                ProgramProcess node = start(discovery, worker)) {
            checkReadyAndServing(node, worker);
            // Discovery was called and has not answered.
            assertThat(Peer.accept(discovery).read())
                    .startsWith("GET /registry/instances?since=3&");
        }
    }
}
