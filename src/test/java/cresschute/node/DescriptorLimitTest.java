package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.ProgramProcess;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a node in a process of its own under a real descriptor limit that its clients try to
 * exhaust. The discovery watch, new connections to workers, the management listener and the log
 * must still get the descriptors that they need.
 */
@Timeout(120)
class DescriptorLimitTest {

    /** The descriptor limit of the process, equal to the one in its configuration. */
    private static final int DESCRIPTORS = 200;

    /**
     * The shares of the management listener, clients and workers in these descriptors, as
     * documented.
     */
    private static final DescriptorBudget SHARES = DescriptorBudget.of(DESCRIPTORS, true);

    /** Concurrent management connections, more than the node accepts at a time. */
    private static final int MANAGEMENT_CALLERS = 40;

    private static final int WORKERS = 40;
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);

    @TempDir private Path folder;

    private ProgramProcess node;
    private InetSocketAddress address;
    private InetSocketAddress management;
    private final List<Peer> clients = new ArrayList<>();
    private int maxOpenDescriptors;

    private void start(int discovery, String endpointList) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket none = Peer.listen()) {
            Files.writeString(
                    config,
                    TestNode.config(none, endpointList)
                            .replace(
                                    "\"limits\":{\"sockets\":200}",
                                    "\"limits\":{\"sockets\":" + DESCRIPTORS + "}"));
        }
        final List<String> command =
                new ArrayList<>(
                        List.of("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$@\"", "sh"));
        command.addAll(
                ProgramProcess.platformCommand(
                        List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"), "serve"));
        final ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_DISCOVERY", "127.0.0.1:" + discovery);
        builder.environment().put("BALANCER_MANAGEMENT", "127.0.0.1:0");
        builder.environment().put("TMPDIR", folder.toString());
        node = ProgramProcess.start(builder);
        management =
                new InetSocketAddress(
                        "127.0.0.1", ProgramProcess.portIn(node.awaitLine("operators call at ")));
        address =
                new InetSocketAddress(
                        "127.0.0.1", ProgramProcess.portIn(node.awaitLine(" listens on ")));
        assertThat(node.descriptorLimit()).isEqualTo(DESCRIPTORS);
    }

    private void stop() throws IOException {
        node.close();
        for (final Peer each : clients) {
            each.close();
        }
    }

    private static String endpointListOf(AnsweringWorker worker) {
        return TestNode.list(1, true, TestNode.entry("s-1", worker.server, "SERVING"));
    }

    /** Records the number of open descriptors and checks that it is below the limit. */
    private void recordOpenDescriptors() throws IOException {
        maxOpenDescriptors = Math.max(maxOpenDescriptors, node.openDescriptors());
        assertThat(maxOpenDescriptors).as("open descriptors").isLessThan(DESCRIPTORS);
    }

    /** Connects more clients that send nothing than the node has descriptors. */
    private void openIdleClients() throws IOException {
        for (int i = 0; i < 2 * DESCRIPTORS; i++) {
            clients.add(Peer.connect(address));
            if (i % 20 == 0) {
                recordOpenDescriptors();
            }
        }
        recordOpenDescriptors();
    }

    private void assertServed(String id) throws IOException {
        try (Peer client = Peer.connect(address)) {
            client.write(TestNode.request(id, "", ""));
            assertThat(client.read()).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nyes");
        }
        recordOpenDescriptors();
    }

    private void assertOperatorsAnswered() throws Exception {
        try (Peer operator = Peer.connect(management)) {
            assertThat(operator.write("ready\n").readLine()).isEqualTo("200 ready");
        }
        node.awaitLine("operators call: ready");
        recordOpenDescriptors();
    }

    @Test
    void idleClientsLeaveDescriptorsForOtherConnections() throws Exception {
        final int port;
        try (ServerSocket discovery = Peer.listen()) {
            port = discovery.getLocalPort();
        }
        try (AnsweringWorker first = new AnsweringWorker(false);
                AnsweringWorker second = new AnsweringWorker(false)) {
            start(port, endpointListOf(first));
            try {
                openIdleClients();
                assertServed("r1");
                openIdleClients();
                assertOperatorsAnswered();
                // Discovery is down: each call opens a descriptor and closes it again.
                openIdleClients();
                node.awaitLine("discovery call failed");
                openIdleClients();
                try (ServerSocket discovery = new ServerSocket()) {
                    discovery.setSoTimeout((int) MAX_WAIT.toMillis());
                    discovery.bind(new InetSocketAddress("127.0.0.1", port));
                    final Peer watch = Peer.accept(discovery);
                    assertThat(watch.read()).startsWith("GET /registry/instances");
                    openIdleClients();
                    watch.write(
                            TestNode.answer(
                                    "200 OK",
                                    "",
                                    TestNode.list(
                                            2,
                                            true,
                                            TestNode.entry("s-1", first.server, "DRAINING")
                                                    + ","
                                                    + TestNode.entry(
                                                            "s-2", second.server, "SERVING"))));
                    assertThat(watch.read()).contains("since=2&");
                    openIdleClients();
                    // The node has no connection to this worker yet, so it must open one.
                    assertServed("r2");
                    assertThat(second.jobs()).isEqualTo(1);
                    openIdleClients();
                    assertOperatorsAnswered();
                }
                assertThat(node.linesSoFar())
                        .noneMatch(line -> line.contains("Too many open files"));
                assertThat(node.process().isAlive()).isTrue();
            } finally {
                stop();
            }
        }
    }

    /**
     * Connections without a request are closed 2 s after they were accepted, even if no others
     * arrive.
     */
    @Test
    void closesConnectionsWithoutRequestWithinTheTimeout() throws Exception {
        try (ServerSocket discovery = Peer.listen();
                AnsweringWorker worker = new AnsweringWorker(false)) {
            start(discovery.getLocalPort(), endpointListOf(worker));
            try {
                final int before = node.openDescriptors();
                for (int i = 0; i < SHARES.clientConnections() - 1; i++) {
                    clients.add(Peer.connect(address));
                }
                Awaitility.await()
                        .atMost(MAX_WAIT)
                        .until(
                                () ->
                                        node.openDescriptors()
                                                > before + SHARES.clientConnections() / 2);
                for (final Peer each : clients) {
                    assertThat(each.isClosedByOther()).isTrue();
                }
                Awaitility.await()
                        .atMost(MAX_WAIT)
                        .until(() -> node.openDescriptors() <= before + 2);
            } finally {
                stop();
            }
        }
    }

    /**
     * With all parts at their limits at the same time, the remaining descriptors suffice to reopen
     * the discovery watch.
     */
    @Test
    void allPartsAtTheirLimitsLeaveDescriptorsForDiscovery() throws Exception {
        try (ServerSocket discovery = Peer.listen();
                AnsweringWorker worker = new AnsweringWorker(true)) {
            final String endpointList =
                    TestNode.list(
                            1,
                            true,
                            IntStream.rangeClosed(1, WORKERS)
                                    .mapToObj(
                                            i ->
                                                    TestNode.entry(
                                                                    "s-" + i,
                                                                    worker.server,
                                                                    "SERVING")
                                                            .replace("127.0.0.1", "127.0.1." + i))
                                    .collect(Collectors.joining(",")));
            start(discovery.getLocalPort(), endpointList);
            try {
                final Peer watch = Peer.accept(discovery);
                for (int i = 0; i < MANAGEMENT_CALLERS; i++) {
                    clients.add(Peer.connect(management));
                }
                for (int i = 0; i < SHARES.clientConnections(); i++) {
                    clients.add(Peer.connect(address).write(TestNode.request("r" + i, "", "")));
                }
                Awaitility.await()
                        .atMost(MAX_WAIT)
                        .until(
                                () -> {
                                    recordOpenDescriptors();
                                    return worker.jobs() >= SHARES.workerConnections() / 2;
                                });
                openIdleClients();
                // The watch connection is reset; the node must reconnect.
                watch.reset();
                final Peer again = Peer.accept(discovery);
                assertThat(again.read()).startsWith("GET /registry/instances");
                recordOpenDescriptors();
                assertThat(node.linesSoFar())
                        .noneMatch(line -> line.contains("Too many open files"));
                // The limit was really approached: all shares were used, and part of the unassigned
                // descriptors.
                assertThat(maxOpenDescriptors)
                        .isGreaterThan(
                                SHARES.clientConnections()
                                        + SHARES.workerConnections()
                                        + SHARES.managementCalls());
            } finally {
                stop();
            }
        }
    }
}
