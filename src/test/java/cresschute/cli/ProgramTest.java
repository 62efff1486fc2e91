package cresschute.cli;

import static cresschute.cli.Programs.lineWith;
import static cresschute.cli.Programs.program;
import static cresschute.cli.Programs.signal;
import static cresschute.cli.Programs.start;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.ProgramProcess;
import cresschute.node.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process: what only a whole process can show. */
@Timeout(60)
class ProgramTest {

    /** The words before the JVM's options on a command line: {@code env}, its option, the JVM. */
    private static final int JVM_OPTIONS_INDEX = 3;

    private static final int SOCKET_WAIT_MS = 20_000;

    private static ServerSocket openServerSocket() throws IOException {
        final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(SOCKET_WAIT_MS);
        return server;
    }

    private static String script(int port, int worker, String logs) {
        return """
        node(name = "n", listen = "127.0.0.1:%d", seed = 3)
        worker(id = "w1", address = "127.0.0.1:%d")
        job_class(name = "check", worth = 1, aim = 1 * s, deadline = 5 * s, effect = "safe")
        logs(%s)
        """
                .formatted(port, worker, logs);
    }

    /** The verdict of a seed is the same every time, and a program can read it. */
    @Test
    void demoKeepsAllRulesWithSeedOne() throws Exception {
        final Process demo =
                start(
                        program(
                                        "demo",
                                        "--for",
                                        "3s",
                                        "--seed",
                                        "1",
                                        "--json",
                                        "--trouble",
                                        "slow@500ms,reset@1s")
                                .redirectError(ProcessBuilder.Redirect.DISCARD));
        final String out = new String(demo.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(ProgramProcess.exitCode(demo)).isZero();
        final JsonObject json = Json.object(out);
        assertThat(json.getAsJsonArray("rules_broken")).isEmpty();
        assertThat(json.get("unanswered").getAsInt()).isZero();
        assertThat(json.get("asked").getAsInt()).isPositive();
    }

    /** Ctrl-C: all of it ends, and the table of what was seen so far is printed. */
    @Test
    void interruptedDemoPrintsPartialTable() throws Exception {
        final ProcessBuilder builder = program("demo", "--for", "10m", "--rate", "50", "--verbose");
        builder.environment().putAll(Map.of("COLUMNS", "40", "NO_COLOR", "1"));
        final Process demo = start(builder);
        try (BufferedReader log = demo.errorReader();
                BufferedReader out = demo.inputReader()) {
            assertThat(lineWith(log, "listens on")).isNotNull();
            signal(demo, "INT");
            final List<String> lines = out.lines().toList();
            assertThat(lines).first().isEqualTo("interrupted; so far:");
            assertThat(lines).contains("one answer         kept", "cold starts kept   kept");
            assertThat(lines).allMatch(line -> line.length() <= 40 && line.indexOf('\u001b') < 0);
            assertThat(demo.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(demo.exitValue()).isEqualTo(130);
        } finally {
            demo.destroyForcibly();
        }
    }

    @Test
    void servesFromScriptAndReloadsItOnHangup(@TempDir Path folder) throws Exception {
        final Path file = folder.resolve("site.star");
        try (ServerSocket worker = openServerSocket()) {
            Files.writeString(
                    file, script(0, worker.getLocalPort(), "format = \"json\", level = \"debug\""));
            final Process node = start(program("serve", "--settings", file.toString()));
            try (BufferedReader log = node.errorReader()) {
                final JsonObject listening = Json.object(lineWith(log, "\"listening\""));
                assertThat(listening.keySet())
                        .containsExactly(
                                "time", "message", "logger", "level", "event", "node", "address");
                final String address = listening.get("address").getAsString();
                assertServesOneRequest(address, worker);
                final JsonObject attempt = Json.object(lineWith(log, "\"attempt_ended\""));
                assertThat(attempt.get("worker").getAsString()).isEqualTo("w1");
                final JsonObject answered = Json.object(lineWith(log, "\"request_answered\""));
                assertThat(answered.get("request").getAsString()).isEqualTo("r1");
                assertThat(answered.get("class").getAsString()).isEqualTo("check");
                assertThat(answered.get("outcome").getAsString()).isEqualTo("served");
                assertThat(answered.get("attempts").getAsInt()).isEqualTo(1);
                // Half written: it is refused as a whole, with the position of what is wrong, and
                // all goes
                // on.
                Files.writeString(file, "node(name = \"n\", listen = \"127.0.0.1:0\"\nworker(");
                signal(node, "HUP");
                assertThat(
                                Json.object(lineWith(log, "\"reload_refused\""))
                                        .get("detail")
                                        .getAsString())
                        .isEqualTo(file + ":2:7: this '(' is never closed");
                // A class that changes is in force for new requests from the reload on.
                Files.writeString(
                        file, script(0, worker.getLocalPort(), "").replace("5 * s", "6 * s"));
                signal(node, "HUP");
                final JsonObject reloaded = Json.object(lineWith(log, "\"reloaded\""));
                assertThat(reloaded.get("held").getAsString()).isEmpty();
                assertThat(reloaded.get("message").getAsString())
                        .contains("classes changed: check");
                assertServesOneRequest(address, worker);
                signal(node, "TERM");
                assertThat(lineWith(log, "\"stopped\"")).isNotNull();
                assertThat(ProgramProcess.exitCode(node)).isEqualTo(143);
            } finally {
                node.destroyForcibly();
            }
        }
    }

    private static void assertServesOneRequest(String address, ServerSocket worker)
            throws IOException {
        final int colon = address.lastIndexOf(':');
        try (Socket client = new Socket()) {
            client.setSoTimeout(SOCKET_WAIT_MS);
            client.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))));
            client.getOutputStream()
                    .write(
                            ("POST /check HTTP/1.1\r\nHost: n\r\nX-Request-Id: r1\r\n"
                                            + "Connection: close\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            try (Socket connection = worker.accept()) {
                connection.setSoTimeout(SOCKET_WAIT_MS);
                final StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append((char) connection.getInputStream().read());
                }
                final String line = "{\"id\":\"r1\",\"state\":\"done\",\"result\":\"yes\"}\n";
                connection
                        .getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                + line.length()
                                                + "\r\nConnection: close\r\n\r\n"
                                                + line)
                                        .getBytes(StandardCharsets.US_ASCII));
                assertThat(
                                new String(
                                        client.getInputStream().readAllBytes(),
                                        StandardCharsets.UTF_8))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("yes");
            }
        }
    }

    @Test
    void reportsPortInUseInOneLine(@TempDir Path folder) throws Exception {
        final Path file = folder.resolve("site.star");
        try (ServerSocket taken = openServerSocket()) {
            Files.writeString(file, script(taken.getLocalPort(), 1, ""));
            final Process node = start(program("serve", "--settings", file.toString()));
            assertThat(node.errorReader().lines())
                    .containsExactly(
                            "cresschute: cannot start: cannot listen on 127.0.0.1:"
                                    + taken.getLocalPort()
                                    + ": Address already in use; see who listens there, or give"
                                    + " node another listen address");
            assertThat(ProgramProcess.exitCode(node)).isEqualTo(1);
        }
    }

    @Test
    void reportsAllErrorsOfAScript(@TempDir Path folder) throws Exception {
        final Path file = folder.resolve("site.star");
        Files.writeString(file, script(0, 0, "format = 1, level = 2"));
        final Process node = start(program("serve", "--settings", file.toString()));
        assertThat(node.errorReader().lines())
                .containsExactly(
                        file + ":4:15: logs: format is 1; allowed: \"text\" or \"json\"",
                        file
                                + ":4:26: logs: level is 2; allowed: \"debug\" or \"info\" or"
                                + " \"warning\" or \"error\"");
        assertThat(ProgramProcess.exitCode(node)).isEqualTo(2);
    }

    /** What the platform's start must not load. */
    @Test
    void platformStartLoadsNeitherParserNorStructuredLog() throws Exception {
        final ProcessBuilder builder = program("serve");
        builder.command().add(JVM_OPTIONS_INDEX, "-Xlog:class+load:stdout");
        builder.environment().remove("BALANCER_CONFIG");
        final Process node = start(builder.redirectErrorStream(true));
        final List<String> lines = node.inputReader().lines().toList();
        assertThat(lines).anyMatch(line -> line.contains("BALANCER_CONFIG is not set"));
        assertThat(lines).anyMatch(line -> line.contains("cresschute.cli.Main "));
        assertThat(lines)
                .noneMatch(
                        line ->
                                line.contains(" picocli.")
                                        || line.contains(" ch.qos.logback")
                                        || line.contains(" org.slf4j")
                                        || line.contains(" org.antlr"));
    }

    /** The control service and the classes that it is made of. */
    private static final List<String> CONTROL_CLASSES =
            List.of(
                    "cresschute.node.ControlService ",
                    "cresschute.node.ControlRequestHandler ",
                    "cresschute.node.ConsoleRows ",
                    "cresschute.node.ConsoleTable ",
                    "cresschute.node.DurableDrains ",
                    "cresschute.node.OperatorEventLog ",
                    "cresschute.node.WorkerHealthMonitor ");

    /**
     * Nor what is for an operator: the small node has no memory for services that nobody can use.
     */
    @Test
    void platformNodeLoadsNoOperatorServices() throws Exception {
        final ProcessBuilder builder = program("serve");
        builder.command().add(JVM_OPTIONS_INDEX, "-Xlog:class+load:stdout");
        builder.environment().put("BALANCER_CONFIG", "deploy/rehearsal.json");
        final Process node = start(builder.redirectErrorStream(true));
        try (BufferedReader out = node.inputReader()) {
            final List<String> lines = new ArrayList<>();
            String line = out.readLine();
            while (line != null && !line.contains(" listens on ")) {
                lines.add(line);
                line = out.readLine();
            }
            assertThat(line).isNotNull();
            assertThat(lines).anyMatch(each -> each.contains("cresschute.node.NodeServer "));
            assertThat(lines)
                    .noneMatch(
                            each ->
                                    CONTROL_CLASSES.stream().anyMatch(each::contains)
                                            || each.contains("cresschute.control.")
                                            || each.contains("cresschute.health.")
                                            || each.contains("cresschute.peers.")
                                            || each.contains("cresschute.node.PeerLoads ")
                                            || each.contains("org.HdrHistogram"));
        } finally {
            node.destroyForcibly();
        }
    }
}
