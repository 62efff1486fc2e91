package cresschute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.ProgramProcess;
import cresschute.TestConsole;
import cresschute.node.Json;
import cresschute.testbed.Fleet;
import cresschute.testbed.FleetReport;
import cresschute.testbed.InjectedFault;
import cresschute.testbed.LargeFleet;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/**
 * Checks the console on a pseudo-terminal, the commands for operators, and that drains of workers
 * survive when the node is killed.
 */
@Timeout(120)
class ConsoleProgramTest {

    @TempDir private Path folder;
    private Path socket;

    @BeforeEach
    void setSocketPath() {
        socket = folder.resolve("s");
    }

    private static List<String> program(String... args) {
        return ProgramProcess.command(
                List.of("-ea", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"), args);
    }

    private Fleet fleet(String faults) {
        final Fleet fleet =
                new Fleet(
                        new Fleet.Plan(
                                5, 15, 1, InjectedFault.parse(faults), socket.toString(), null));
        fleet.start();
        return fleet;
    }

    private VirtualScreen console(int columns, int rows, Map<String, String> environment)
            throws IOException {
        return new VirtualScreen(
                columns, rows, environment, program("console", "--socket", socket.toString()));
    }

    private JsonObject worker(String id) throws IOException {
        try (TestConsole peer = new TestConsole(socket)) {
            return peer.worker(id);
        }
    }

    private static void assertAllRulesKept(Fleet fleet) {
        fleet.stop();
        final FleetReport report = fleet.report();
        assertThat(report.breaches()).isEmpty();
        assertThat(report.invariantBreaches()).isZero();
    }

    private static String row(VirtualScreen screen, String worker) {
        return screen.lines().stream()
                .filter(each -> each.length() > 1 && each.substring(1).startsWith(worker + " "))
                .findFirst()
                .orElse("");
    }

    /**
     * A whole session: drain the selected worker, lose the terminal, connect again, undo the drain,
     * quit. The workers see the drain in force within 400 ms after the node accepts it, and all
     * other workers keep getting requests.
     */
    @Test
    void drainStaysInForceAfterTerminalDisconnects() throws Exception {
        try (Fleet fleet = fleet("")) {
            try (VirtualScreen screen = console(80, 24, Map.of("USER", "wanjiru"))) {
                screen.await("LIVE");
                screen.await(
                        "all workers at work",
                        text -> text.contains("w5 ") && !text.contains("  0.0 "));
                screen.type("jj");
                screen.await("the cursor on w3", text -> row(screen, "w3").startsWith(">"));
                screen.type("d");
                screen.await("Drain w3? ");
                screen.type("y");
                screen.await("w3 is draining");
                // The terminal disconnects and the program ends, but the drain stays in force.
                screen.disconnect();
            }
            final JsonObject drain = worker("w3").getAsJsonObject("drain");
            assertThat(drain.get("who").getAsString()).isEqualTo("wanjiru");
            final long drainedUs = drain.get("since_ms").getAsLong() * 1_000;
            fleet.drainedAt("w3", drainedUs);
            try (VirtualScreen screen = console(80, 24, Map.of("USER", "otieno"))) {
                screen.await("the drain", text -> row(screen, "w3").contains("draining"));
                screen.type("jj");
                screen.await("drained by wanjiru");
                final Set<String> workersWithSends = new HashSet<>();
                screen.await(
                        "work at all others",
                        text -> {
                            workersWithSends.addAll(
                                    fleet.sends(drainedUs + 400_000, Long.MAX_VALUE).keySet());
                            return workersWithSends.size() >= 4;
                        });
                assertThat(workersWithSends).containsExactlyInAnyOrder("w1", "w2", "w4", "w5");
                fleet.undrained("w3");
                screen.type("u");
                screen.await("w3 takes work again");
                screen.await(
                        "it at work",
                        text ->
                                row(screen, "w3").contains("taking")
                                        || row(screen, "w3").contains("full"));
                screen.type("q");
                assertThat(screen.exitCode()).isZero();
            }
            for (final String other : List.of("w1", "w2", "w4", "w5")) {
                assertThat(worker(other).has("drain")).isFalse();
            }
            assertAllRulesKept(fleet);
        }
    }

    /** A disconnection after the prompt and before the confirmation drains no worker. */
    @Test
    void disconnectBeforeConfirmationDrainsNothing() throws Exception {
        try (Fleet fleet = fleet("")) {
            try (VirtualScreen screen = console(80, 24, Map.of())) {
                screen.await("LIVE");
                screen.type("d");
                screen.await("Drain w1? ");
                screen.disconnect();
            }
            assertThat(worker("w1").has("drain")).isFalse();
            assertAllRulesKept(fleet);
        }
    }

    /**
     * While a node restarts, the screen marks its rows as stale; once the new incarnation answers,
     * it is live again.
     */
    @Test
    void screenShowsStaleRowsUntilNodeReturns() throws Exception {
        try (VirtualScreen screen = console(40, 12, Map.of("NO_COLOR", "1"))) {
            screen.await("LOADING");
            try (Fleet first = fleet("crash:w2@1s+1s")) {
                screen.await("LIVE");
                assertThat(screen.lines()).allMatch(line -> line.length() <= 40);
                screen.resize(100, 30);
                screen.await("QUEUE FREE REPORT LAST MINUTE");
                assertAllRulesKept(first);
            }
            screen.await("RECONNECTING, STALE since ");
            assertThat(row(screen, "w1")).isNotEmpty();
            try (Fleet second = fleet("")) {
                screen.await("LIVE");
                assertAllRulesKept(second);
            }
            screen.type("?");
            screen.await("any key closes this help");
            screen.type("\u0003");
            screen.type("\u0003");
            assertThat(screen.exitCode()).isZero();
        }
    }

    /**
     * Among 1,000 workers with 200 changes a second, the filter finds one worker, and the drain
     * applies to it.
     */
    @Test
    void drainsSelectedWorkerWhileOtherRowsChange() throws Exception {
        try (LargeFleet site = new LargeFleet(1_000, 1, socket);
                VirtualScreen screen = console(100, 30, Map.of())) {
            screen.await("1/1000");
            site.churn(200);
            screen.type("s");
            screen.await("STATE*");
            screen.type("/w512");
            screen.await("/w512_");
            screen.type("\r");
            screen.await(
                    "w512 alone",
                    text -> row(screen, "w512").startsWith(">") && row(screen, "w513").isEmpty());
            screen.type("d");
            screen.await("Drain w512? ");
            screen.type("y");
            screen.await("w512 is draining");
            screen.type("\u001b");
            screen.await("LIVE");
            assertThat(worker("w512").has("drain")).isTrue();
            // The selection is still on it among 1,000 rows that keep changing.
            screen.await("the cursor on w512", text -> row(screen, "w512").startsWith(">"));
        }
    }

    @Test
    void dumbTerminalGetsPlainLines() throws Exception {
        try (Fleet fleet = fleet("")) {
            try (VirtualScreen screen = console(80, 24, Map.of("TERM", "dumb"))) {
                screen.await("this terminal cannot show a screen");
                screen.await("WORKER           STATE");
            }
            assertAllRulesKept(fleet);
        }
    }

    // ---- Commands ----

    private record CommandResult(int code, String out, String err) {}

    private CommandResult run(String... args) {
        final List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--socket", socket.toString()));
        final StringWriter out = new StringWriter();
        final StringWriter err = new StringWriter();
        final CommandLine line =
                Commands.commandLine()
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(err, true));
        return new CommandResult(
                line.execute(all.toArray(String[]::new)),
                out.toString().strip(),
                err.toString().strip());
    }

    @Test
    void commandsDrainWorkersAndPrintThem() {
        try (Fleet fleet = fleet("")) {
            assertThat(run("workers").out().lines().map(each -> each.split(" +")[0]))
                    .containsExactly("WORKER", "w1", "w2", "w3", "w4", "w5");
            final JsonObject snapshot = Json.object(run("workers", "--json").out());
            assertThat(snapshot.keySet()).containsExactly("node", "workers", "classes");
            final CommandResult drain =
                    run("drain", "w2", "--for", "2h", "--reason", "disk", "--wait");
            assertThat(drain.code()).isZero();
            assertThat(drain.out())
                    .matches(
                            "(?s)w2 is draining; [0-9]+ still out\\s+"
                                    + "w2: no request is in flight any more");
            assertThat(run("drain", "w2").out()).startsWith("w2: drained by ").endsWith(": disk");
            assertThat(run("drain", "w2").code()).isZero();
            assertThat(run("drain", "w9"))
                    .isEqualTo(
                            new CommandResult(
                                    1,
                                    "",
                                    "cresschute: no worker is called w9; --force drains it"
                                            + " anyway"));
            assertThat(run("undrain", "w2", "--operation", "u1").out())
                    .isEqualTo("w2 is no longer drained by an operator");
            assertThat(run("undrain", "w2").out()).isEqualTo("w2: not drained by an operator");
            assertThat(
                            Json.object(run("undrain", "w2", "--operation", "u1", "--json").out())
                                    .get("outcome")
                                    .getAsString())
                    .isEqualTo("done");
            assertThat(run("events").out())
                    .contains("w2 drained by ", ": disk", "w2 no longer drained by ");
            assertThat(
                            run("events", "--json")
                                    .out()
                                    .lines()
                                    .map(Json::object)
                                    .map(each -> each.get("kind").getAsString()))
                    .contains("drained", "undrained");
            assertAllRulesKept(fleet);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    drain                | Missing required parameter: 'WORKER'; try 'cresschute drain --help'
                    drain w1 --for soon  | --for: 'soon' is no duration; allowed: a whole number and ms, s, m, h or d, such as 2h; try 'cresschute drain --help'
                    drain w1 --for 0s    | --for: '0s' is no duration; allowed: a whole number and ms, s, m, h or d, such as 2h; try 'cresschute drain --help'
                    drain w1             | no node answers at
                    workers              | no node answers at
                    events               | no node answers at
                    """)
    void reportsUnusableArgumentsAndAbsentNode(String arguments, String message) {
        final CommandResult result = run(arguments.split(" "));
        assertThat(result.err()).startsWith("cresschute: " + message);
        assertThat(result.code()).isEqualTo(message.startsWith("no node") ? 1 : 2);
    }

    @Test
    void reportsMissingControlSocket() {
        final StringWriter err = new StringWriter();
        final int code =
                Commands.commandLine()
                        .setErr(new PrintWriter(err, true))
                        .execute("workers", "--settings", "deploy/appliance.star");
        assertThat(err.toString()).contains("has no control(socket = ...)");
        assertThat(code).isEqualTo(2);
    }

    // ---- Killed nodes ----

    private ProgramProcess startNode(Path script) throws Exception {
        final ProgramProcess node =
                ProgramProcess.start(
                        new ProcessBuilder(program("serve", "--settings", script.toString())));
        node.awaitLine(" listens on ");
        return node;
    }

    /**
     * The node is killed right after it confirmed a drain, or right after the drain was requested.
     * A confirmed drain is in force after the next start, before the first request. In both cases,
     * repeating the operation has no second effect.
     */
    @Test
    void killedNodeKeepsConfirmedDrains() throws Exception {
        final Path script = folder.resolve("site.star");
        try (ServerSocket w1 = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket w2 = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            final int port;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            Files.writeString(
                    script,
                    """
                    node(name = "n", listen = "127.0.0.1:%d", seed = 3)
                    worker(id = "w1", address = "127.0.0.1:%d")
                    worker(id = "w2", address = "127.0.0.1:%d")
                    job_class(name = "check", worth = 1, aim = 1 * s, deadline = 5 * s, effect = "safe")
                    control(socket = "%s")
                    state(folder = "%s")
                    """
                            .formatted(
                                    port,
                                    w1.getLocalPort(),
                                    w2.getLocalPort(),
                                    socket,
                                    folder.resolve("state")));
            for (int round = 0; round < 4; round++) {
                final String op = "round-" + round;
                final boolean confirmed = round % 2 == 0;
                final ProgramProcess first = startNode(script);
                try (TestConsole peer = new TestConsole(socket)) {
                    peer.write(
                            "{\"v\":1,\"id\":\"1\","
                                    + TestConsole.operation("drain", op, "w1")
                                    + "}\n");
                    if (confirmed) {
                        assertThat(peer.read().get("outcome").getAsString()).isEqualTo("done");
                    }
                } finally {
                    first.close();
                    first.exitCode();
                }
                // The killed node left its socket file. The operating system has released the lock
                // of its state folder.
                assertThat(Files.exists(socket)).isTrue();
                final ProgramProcess second = startNode(script);
                try (TestConsole peer = new TestConsole(socket)) {
                    if (confirmed) {
                        assertThat(peer.worker("w1").has("drain")).isTrue();
                        assertRequestsReach(port, w2);
                    }
                    assertThat(peer.operate("drain", op, "w1")).isEqualTo("done: ");
                    assertThat(peer.worker("w1").has("drain")).isTrue();
                    assertThat(peer.operate("undrain", "u" + round, "w1")).isEqualTo("done: ");
                } finally {
                    second.signal("TERM");
                    second.exitCode();
                }
            }
        }
    }

    private static void assertRequestsReach(int port, ServerSocket worker) throws IOException {
        for (int i = 0; i < 6; i++) {
            try (Socket client = new Socket()) {
                client.setSoTimeout(8_000);
                client.connect(new InetSocketAddress("127.0.0.1", port));
                client.getOutputStream()
                        .write(
                                ("POST /check HTTP/1.1\r\nHost: n\r\nX-Request-Id: r"
                                                + i
                                                + "\r\n"
                                                + "Connection: close\r\n"
                                                + "Content-Length: 0\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                worker.setSoTimeout(8_000);
                try (Socket connection = worker.accept()) {
                    connection.setSoTimeout(8_000);
                    final StringBuilder head = new StringBuilder();
                    while (head.indexOf("\r\n\r\n") < 0) {
                        head.append((char) connection.getInputStream().read());
                    }
                    final String line =
                            "{\"id\":\"r" + i + "\",\"state\":\"done\",\"result\":\"yes\"}\n";
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
                            .endsWith("yes");
                }
            }
        }
    }
}
