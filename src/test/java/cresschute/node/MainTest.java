package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.ProgramProcess;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the program as a separate process. */
@Timeout(30)
class MainTest {

    private static final String SIGHUP_IGNORED_MESSAGE =
            "SIGHUP is ignored, as this process was started with it ignored";

    private static ProgramProcess serve(String config, String discovery) throws Exception {
        return serve(ProgramProcess.command(List.of(), "serve"), config, discovery);
    }

    private static ProgramProcess serve(List<String> command, String config, String discovery)
            throws Exception {
        final ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", config);
        builder.environment().put("BALANCER_DISCOVERY", discovery);
        return ProgramProcess.start(builder);
    }

    @Test
    void exitsWithCode2AndOneLineWithoutConfiguration() throws Exception {
        try (ProgramProcess node = serve("", "")) {
            assertThat(node.remainingLines())
                    .containsExactly("cresschute: BALANCER_CONFIG is not set");
            assertThat(node.exitCode()).isEqualTo(2);
        }
    }

    /**
     * SIGHUP does not end the process, and after a reload the discovery address in the file
     * overrides the one in the environment.
     */
    @Test
    void readsDiscoveryAddressFromFileOnSighup(@TempDir Path folder) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket workerServer = Peer.listen();
                ServerSocket old = Peer.listen();
                ServerSocket next = Peer.listen()) {
            final String known =
                    TestNode.list(1, true, TestNode.entry("s-1", workerServer, "SERVING"));
            Files.writeString(config, TestNode.config(old, known));
            try (ProgramProcess node =
                    serve(config.toString(), "127.0.0.1:" + old.getLocalPort())) {
                Peer.accept(old).read();
                Files.writeString(config, "{\"name\":");
                node.signal("HUP");
                node.awaitLine(
                        "not reloaded, the current configuration stays in force: configuration: ");
                Files.writeString(config, TestNode.config(next, known));
                node.signal("HUP");
                final Peer discovery = Peer.accept(next);
                assertThat(discovery.read()).startsWith("GET /registry/instances HTTP/1.1");
                discovery.write(TestNode.answer("200 OK", "", TestNode.list(9, true, "")));
                assertThat(discovery.read()).startsWith("GET /registry/instances?since=9&");
                assertThat(node.process().isAlive()).isTrue();
                assertThat(node.linesSoFar())
                        .noneMatch(line -> line.contains(SIGHUP_IGNORED_MESSAGE));
            }
        }
    }

    /** The JVM never receives the signal if its parent process ignores it. */
    @Test
    void logsThatSighupIsIgnored(@TempDir Path folder) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket workerServer = Peer.listen();
                ServerSocket discovery = Peer.listen()) {
            Files.writeString(
                    config,
                    TestNode.config(
                            discovery,
                            TestNode.list(
                                    1, true, TestNode.entry("s-1", workerServer, "SERVING"))));
            final List<String> command =
                    new ArrayList<>(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
            command.addAll(ProgramProcess.commandInheritingSignals("serve"));
            try (ProgramProcess node = serve(command, config.toString(), "")) {
                node.awaitLine(SIGHUP_IGNORED_MESSAGE);
                node.awaitLine(" listens on ");
                final Peer watch = Peer.accept(discovery);
                assertThat(watch.read()).startsWith("GET /registry/instances");
                Files.writeString(config, "{\"name\":");
                node.signal("HUP");
                // The node keeps running: it did not read the file, and SIGTERM stops it as usual.
                watch.write(TestNode.answer("200 OK", "", TestNode.list(9, true, "")));
                assertThat(watch.read()).startsWith("GET /registry/instances?since=9&");
                node.signal("TERM");
                assertThat(node.remainingLines())
                        .noneMatch(line -> line.contains("reloaded"))
                        .last()
                        .asString()
                        .contains("stopped: all accepted requests are answered");
                assertThat(node.exitCode()).isEqualTo(143);
            }
        }
    }

    /**
     * Log handlers must stay open until the process ends, or the last lines of a shutdown are lost.
     */
    @Test
    void answersOpenRequestsAfterSigterm(@TempDir Path folder) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket workerServer = Peer.listen();
                ServerSocket discovery = Peer.listen()) {
            Files.writeString(
                    config,
                    TestNode.config(
                            discovery,
                            TestNode.list(
                                    1, true, TestNode.entry("s-1", workerServer, "SERVING"))));
            try (ProgramProcess node = serve(config.toString(), "")) {
                final int port = ProgramProcess.portIn(node.awaitLine("listens on"));
                final Peer client = Peer.connect(new InetSocketAddress("127.0.0.1", port));
                client.write(TestNode.request("r1", "", ""));
                final Peer worker = Peer.accept(workerServer);
                worker.read();
                node.signal("TERM");
                node.awaitLine("no longer accepting: 1 requests");
                worker.write(
                        TestNode.answer(
                                "200 OK",
                                "",
                                "{\"id\":\"r1\",\"state\":\"done\",\"result\":\"yes\"}\n"));
                assertThat(client.read()).endsWith("\r\n\r\nyes");
                assertThat(node.remainingLines())
                        .last()
                        .asString()
                        .contains("stopped: all accepted requests are answered");
                assertThat(node.exitCode()).isEqualTo(143);
            }
        }
    }
}
