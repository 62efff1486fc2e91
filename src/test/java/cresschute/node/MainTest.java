package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process of its own. */
@Timeout(30)
class MainTest {

    private static Process serve(String config, String director) throws Exception {
        final List<String> command = new ArrayList<>(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Djava.util.logging.manager=cresschute.node.StayingLogManager",
            "-cp", System.getProperty("java.class.path"), "cresschute.cli.Main", "serve"));
        final ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config);
        builder.environment().put("BALANCER_DISCOVERY", director);
        return builder.start();
    }

    @Test
    void endsWithOneLineAndTwoOnBadConfiguration() throws Exception {
        final Process node = serve("", "");
        assertThat(node.inputReader().lines()).containsExactly("cresschute: BALANCER_CONFIG is not set");
        assertThat(node.waitFor()).isEqualTo(2);
    }

    /** A hang-up ended the process. The environment names the old director for ever; the file may not. */
    @Test
    void followsTheFilesDirectorOnSighup(@TempDir Path folder) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket backend = Peer.listen();
            ServerSocket old = Peer.listen();
            ServerSocket next = Peer.listen()) {
            final String known = TestNode.list(1, true, TestNode.entry("s-1", backend, "SERVING"));
            Files.writeString(config, TestNode.config(old, known));
            final Process node = serve(config.toString(), "127.0.0.1:" + old.getLocalPort());
            try (BufferedReader log = node.inputReader()) {
                Peer.accept(old).read();
                Files.writeString(config, "{\"name\":");
                hangUp(node);
                String line = log.readLine();
                while (!line.contains("not reloaded, the old configuration stays: configuration: ")) {
                    line = log.readLine();
                }
                Files.writeString(config, TestNode.config(next, known));
                hangUp(node);
                final Peer director = Peer.accept(next);
                assertThat(director.read()).startsWith("GET /registry/instances HTTP/1.1");
                director.write(TestNode.answer("200 OK", "", TestNode.list(9, true, "")));
                assertThat(director.read()).startsWith("GET /registry/instances?since=9&");
                assertThat(node.isAlive()).isTrue();
            } finally {
                node.destroyForcibly();
            }
        }
    }

    private static void hangUp(Process node) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -HUP " + node.pid()).start().waitFor();
    }

    /** The log was closed at the beginning of an exit, so that a planned restart left no lines. */
    @Test
    void answersWhatItTookAfterSigterm(@TempDir Path folder) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket backend = Peer.listen(); ServerSocket director = Peer.listen()) {
            Files.writeString(config, TestNode.config(director,
                TestNode.list(1, true, TestNode.entry("s-1", backend, "SERVING"))));
            final Process node = serve(config.toString(), "");
            try (BufferedReader log = node.inputReader()) {
                String line = log.readLine();
                while (!line.contains("listens on")) {
                    line = log.readLine();
                }
                final int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
                final Peer client = Peer.connect(new InetSocketAddress("127.0.0.1", port));
                client.write(TestNode.req("r1", "", ""));
                final Peer worker = Peer.accept(backend);
                worker.read();
                node.toHandle().destroy();
                while (!line.contains("no longer accepting: 1 reqs")) {
                    line = log.readLine();
                }
                worker.write(TestNode.answer("200 OK", "",
                    "{\"id\":\"r1\",\"state\":\"done\",\"result\":\"yes\"}\n"));
                assertThat(client.read()).endsWith("\r\n\r\nyes");
                assertThat(log.lines()).last().asString().contains("stopped: everything taken is answered");
                assertThat(node.waitFor(8, TimeUnit.SECONDS)).isTrue();
                assertThat(node.exitValue()).isEqualTo(143);
            } finally {
                node.destroyForcibly();
            }
        }
    }
}
