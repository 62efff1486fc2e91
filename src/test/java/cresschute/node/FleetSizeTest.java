package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.ProgramProcess;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program with the memory limits of the deploy file, as one of 1,024 dispatchers in front
 * of 1,024 workers.
 */
@Timeout(60)
class FleetSizeTest {

    private static final int FLEET_SIZE = 1_024;

    /** The smallest memory limit of a dispatcher, KiB. */
    private static final long MIN_MEMORY_KIB = 144 * 1024;

    private static String entries(ServerSocket workerServer, int first, String state) {
        return IntStream.range(first, first + FLEET_SIZE)
                .mapToObj(
                        i ->
                                TestNode.entry("s-" + i, workerServer, state)
                                        .replace("\"cell\":0", "\"cell\":" + i / 6))
                .collect(Collectors.joining(","));
    }

    /** The same JSON with each value on its own indented line, as lists may be formatted. */
    private static String indented(String json) {
        return json.replace(",", ",\n          ").replace("{", "{\n          ");
    }

    @Test
    void servesWithListOfManyWorkersWithinMemoryLimit(@TempDir Path folder) throws Exception {
        final Path config = folder.resolve("config.json");
        try (ServerSocket workerServer = Peer.listen();
                ServerSocket discovery = Peer.listen()) {
            Files.writeString(
                    config,
                    TestNode.config(
                                    discovery,
                                    indented(
                                            TestNode.list(
                                                    1, true, entries(workerServer, 0, "SERVING"))))
                            .replace("\"balancers\":1", "\"balancers\":" + FLEET_SIZE));
            final ProcessBuilder builder =
                    new ProcessBuilder(
                            ProgramProcess.command(ProgramProcess.deployedMemoryFlags(), "serve"));
            builder.environment().put("BALANCER_CONFIG", config.toString());
            try (ProgramProcess node = ProgramProcess.start(builder)) {
                final int port = ProgramProcess.portIn(node.awaitLine("listens on"));
                final Peer watch = Peer.accept(discovery);
                assertThat(watch.read()).contains("since=1&");
                // Half of the first workers are removed and as many new ones added, in a list that
                // is split at arbitrary places.
                final String next =
                        TestNode.answer(
                                "200 OK",
                                "",
                                indented(
                                        TestNode.list(
                                                2,
                                                true,
                                                entries(workerServer, FLEET_SIZE / 2, "SERVING"))));
                for (int at = 0; at < next.length(); at += 9_973) {
                    watch.write(next.substring(at, Math.min(next.length(), at + 9_973)));
                }
                assertThat(watch.read()).contains("since=2&");
                try (Peer client = Peer.connect(new InetSocketAddress("127.0.0.1", port))) {
                    for (int i = 0; i < 20; i++) {
                        client.write(TestNode.request("r" + i, "", ""));
                        try (Peer worker = Peer.accept(workerServer)) {
                            worker.read();
                            worker.write(
                                    TestNode.answer(
                                            "200 OK",
                                            "Connection: close\r\n",
                                            "{\"id\":\"r"
                                                    + i
                                                    + "\",\"state\":\"done\",\"result\":\"yes\"}\n"));
                            assertThat(client.read()).endsWith("\r\n\r\nyes");
                        }
                    }
                }
                assertThat(memoryKib(node.process().pid()))
                        .as("memory, KiB")
                        .isLessThan(MIN_MEMORY_KIB);
                assertThat(node.process().isAlive()).isTrue();
            }
        }
    }

    private static long memoryKib(long pid) throws Exception {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }
}
