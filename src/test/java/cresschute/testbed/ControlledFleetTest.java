package cresschute.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonObject;
import cresschute.TestConsole;
import cresschute.control.socket.ControlServer;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestSent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks consoles at a node under load, seed 1: sessions that are cut, that drain the same worker
 * at the same time, or that stop reading.
 */
@Timeout(90)
class ControlledFleetTest {

    @TempDir private Path folder;
    private Path socket;
    private Fleet fleet;

    @BeforeEach
    void start() throws IOException {
        socket = folder.resolve("s");
        fleet =
                new Fleet(
                        new Fleet.Plan(
                                6,
                                20,
                                1,
                                List.of(),
                                socket.toString(),
                                folder.resolve("state").toString()));
        fleet.start();
    }

    /** The rules must hold whatever the consoles did. */
    @AfterEach
    void stop() {
        fleet.stop();
        final FleetReport report = fleet.report();
        assertThat(report.breaches()).isEmpty();
        assertThat(report.invariantBreaches()).isZero();
        assertThat(Files.exists(socket)).isFalse();
    }

    private TestConsole peer() throws IOException {
        return new TestConsole(socket);
    }

    private void await(Condition condition) {
        Awaitility.await().atMost(Duration.ofSeconds(20)).until(condition::holds);
    }

    @FunctionalInterface
    private interface Condition {
        boolean holds() throws Exception;
    }

    private static boolean isAttemptAt(Observation seen, String worker) {
        return seen instanceof AttemptReceived send && send.worker().equals(worker);
    }

    private List<Observation> since(int before) {
        final List<Observation> seen = fleet.observations();
        return seen.subList(before, seen.size());
    }

    private long asked() {
        return fleet.observations().stream().filter(RequestSent.class::isInstance).count();
    }

    /** Waits until this many more requests have been sent. */
    private void awaitRequests(int requests) {
        final long before = asked();
        await(() -> asked() >= before + requests);
    }

    private boolean isDrained(String worker) throws IOException {
        try (TestConsole peer = peer()) {
            return peer.worker(worker).has("drain");
        }
    }

    private void drain(TestConsole peer, String op, String worker) throws IOException {
        assertThat(peer.operate("drain", op, worker)).isEqualTo("done: ");
        fleet.drainedAt(worker, fleet.nowUs());
    }

    private void undrain(TestConsole peer, String op, String worker) throws IOException {
        // Recorded before the request, because work may arrive from then on.
        fleet.undrained(worker);
        assertThat(peer.operate("undrain", op, worker)).isEqualTo("done: ");
    }

    @Test
    void sendsNothingNewToDrainedWorkerAndServesWithOthers() throws IOException {
        awaitRequests(30);
        try (TestConsole peer = peer()) {
            drain(peer, "o1", "w1");
            awaitRequests(60);
            final int before = fleet.observations().size();
            awaitRequests(40);
            final List<Observation> seen = fleet.observations();
            assertThat(seen.subList(before, seen.size()))
                    .noneMatch(each -> isAttemptAt(each, "w1"));
            // When each of the other workers gets its next request is random; that it gets one is
            // not.
            for (final String other : List.of("w2", "w3", "w4", "w5", "w6")) {
                await(
                        () ->
                                fleet.observations().stream()
                                        .skip(before)
                                        .anyMatch(each -> isAttemptAt(each, other)));
            }
            await(() -> peer.worker("w1").get("in_flight").getAsInt() == 0);
            assertThat(peer.worker("w1").get("why").getAsString())
                    .isEqualTo("by an operator; nothing is out there");
            undrain(peer, "o2", "w1");
            final int after = fleet.observations().size();
            await(() -> since(after).stream().anyMatch(each -> isAttemptAt(each, "w1")));
        }
    }

    /** An incomplete request has no effect, however often it is sent. */
    @Test
    void ignoresRequestCutBeforeItsEnd() throws IOException {
        final String request =
                "{\"v\":1,\"id\":\"1\"," + TestConsole.operation("drain", "o", "w1") + "}\n";
        for (int cut = 0; cut < request.length(); cut += 7) {
            try (TestConsole peer = peer()) {
                peer.write(request.substring(0, cut));
            }
        }
        // Without a line end the request is incomplete, even if its JSON is complete.
        try (TestConsole peer = peer()) {
            peer.write(request.strip());
        }
        assertThat(isDrained("w1")).isFalse();
    }

    /**
     * If the session is cut after the request, the drain is applied exactly once, and the same
     * request gets the same answer.
     */
    @Test
    void drainSurvivesSessionCutAndIsIdempotent() throws IOException {
        for (int round = 0; round < 10; round++) {
            final String op = "round-" + round;
            try (TestConsole peer = peer()) {
                peer.write(
                        "{\"v\":1,\"id\":\"1\","
                                + TestConsole.operation("drain", op, "w2")
                                + "}\n");
                if (round % 2 == 0) {
                    peer.read();
                }
            }
            await(() -> isDrained("w2"));
            try (TestConsole next = peer()) {
                assertThat(next.operate("drain", op, "w2")).isEqualTo("done: ");
                assertThat(next.operate("drain", "other-" + op, "w2"))
                        .isEqualTo("already: drained by ann");
                assertThat(next.operate("undrain", "undo-" + op, "w2")).isEqualTo("done: ");
                // Repeats the first operation, as a console does after a long disconnection: this
                // must not start a new drain.
                assertThat(next.operate("drain", op, "w2")).isEqualTo("done: ");
                assertThat(next.worker("w2").has("drain")).isFalse();
                final long drained =
                        next.ask("\"do\":\"events\"").getAsJsonArray("events").asList().stream()
                                .map(each -> each.getAsJsonObject().get("kind").getAsString())
                                .filter("drained"::equals)
                                .count();
                assertThat(drained).isEqualTo(round + 1);
            }
        }
    }

    @Test
    void onlyOneOfTwoConsolesDrainsWorker() throws IOException {
        try (TestConsole one = peer();
                TestConsole other = peer()) {
            one.write("{\"v\":1,\"id\":\"a\"," + TestConsole.operation("drain", "a", "w3") + "}\n");
            other.write(
                    "{\"v\":1,\"id\":\"b\"," + TestConsole.operation("drain", "b", "w3") + "}\n");
            final Set<String> outcomes = new HashSet<>();
            outcomes.add(one.read().get("outcome").getAsString());
            outcomes.add(other.read().get("outcome").getAsString());
            assertThat(outcomes).containsExactlyInAnyOrder("done", "already");
            // Either console may undo the drain; the second undo then finds nothing.
            assertThat(one.operate("undrain", "c", "w3")).isEqualTo("done: ");
            assertThat(other.operate("undrain", "d", "w3"))
                    .isEqualTo("already: not drained by an operator");
        }
    }

    /**
     * A worker that is drained while its process is down is still drained after the process
     * restarts, and gets requests once the drain is undone.
     */
    @Test
    void drainOutlivesWorkerRestart() throws IOException {
        awaitRequests(10);
        fleet.begin(InjectedFault.Kind.CRASH, "w4");
        try (TestConsole peer = peer()) {
            await(() -> peer.worker("w4").get("state").getAsString().equals("gone"));
            drain(peer, "o1", "w4");
            fleet.end(InjectedFault.Kind.CRASH, "w4");
            await(() -> peer.worker("w4").get("state").getAsString().equals("draining"));
            final int before = fleet.observations().size();
            awaitRequests(60);
            assertThat(since(before)).noneMatch(each -> isAttemptAt(each, "w4"));
            undrain(peer, "o2", "w4");
            await(() -> since(before).stream().anyMatch(each -> isAttemptAt(each, "w4")));
        }
    }

    @Test
    void operatorDrainIsIndependentOfEndpointList() throws IOException {
        try (TestConsole peer = peer()) {
            drain(peer, "o1", "w5");
            fleet.reportFullList();
            awaitRequests(20);
            assertThat(peer.worker("w5").get("state").getAsString()).isEqualTo("draining");
            fleet.begin(InjectedFault.Kind.DRAIN, "w5");
            await(() -> peer.worker("w5").get("listed").getAsString().equals("draining"));
            undrain(peer, "o2", "w5");
            // The operator drain is undone, the drain by the endpoint list is not.
            assertThat(peer.worker("w5").get("why").getAsString()).startsWith("by the list");
            final int before = fleet.observations().size();
            awaitRequests(40);
            assertThat(since(before)).noneMatch(each -> isAttemptAt(each, "w5"));
            fleet.end(InjectedFault.Kind.DRAIN, "w5");
            await(() -> since(before).stream().anyMatch(each -> isAttemptAt(each, "w5")));
        }
    }

    @Test
    void drainsLastWorkerOnlyWithForce() throws IOException {
        try (TestConsole peer = peer()) {
            for (int i = 1; i <= 5; i++) {
                assertThat(
                                peer.ask(
                                                TestConsole.operation("drain", "o" + i, "w" + i)
                                                        + ",\"force\":true")
                                        .get("outcome")
                                        .getAsString())
                        .isEqualTo("done");
            }
            assertThat(peer.operate("drain", "o6", "w6"))
                    .isEqualTo("refused: w6 is the last worker that may run lookup");
            assertThat(peer.operate("drain", "o7", "w9"))
                    .isEqualTo("refused: no worker is called w9");
            assertThat(
                            peer.ask(TestConsole.operation("drain", "o8", "w6") + ",\"force\":true")
                                    .get("outcome")
                                    .getAsString())
                    .isEqualTo("done");
            for (int i = 1; i <= 6; i++) {
                assertThat(peer.operate("undrain", "u" + i, "w" + i)).isEqualTo("done: ");
            }
            final int before = fleet.observations().size();
            await(
                    () ->
                            since(before).stream()
                                    .anyMatch(
                                            each ->
                                                    each instanceof RequestAnswered answer
                                                            && answer.status() == LoadClients.OK));
        }
    }

    @Test
    void drainExpires() throws IOException {
        try (TestConsole peer = peer()) {
            assertThat(
                            peer.ask(TestConsole.operation("drain", "o", "w1") + ",\"for_ms\":3000")
                                    .get("outcome")
                                    .getAsString())
                    .isEqualTo("done");
            assertThat(peer.worker("w1").getAsJsonObject("drain").has("until_ms")).isTrue();
            await(() -> !peer.worker("w1").has("drain"));
            assertThat(peer.ask("\"do\":\"events\"").toString())
                    .contains("the drain of w1 is over");
        }
    }

    /**
     * A console that resumes with its last number gets the changes it missed; with the number of
     * another run it gets the full state.
     */
    @Test
    void consoleResumesFromNumber() throws IOException {
        final String boot;
        final long number;
        try (TestConsole peer = peer()) {
            final JsonObject first = peer.ask("\"do\":\"subscribe\"");
            assertThat(first.get("whole").getAsBoolean()).isTrue();
            boot = first.get("boot").getAsString();
            number = first.get("number").getAsLong();
        }
        try (TestConsole peer = peer()) {
            drain(peer, "o", "w1");
            final JsonObject next =
                    peer.ask(
                            "\"do\":\"subscribe\",\"from\":"
                                    + number
                                    + ",\"boot\":\""
                                    + boot
                                    + "\"");
            assertThat(next.get("whole").getAsBoolean()).isFalse();
            assertThat(next.getAsJsonObject("rows").getAsJsonObject("w/w1").has("drain")).isTrue();
            assertThat(
                            peer.ask("\"do\":\"subscribe\",\"from\":" + number + ",\"boot\":\"x\"")
                                    .get("whole")
                                    .getAsBoolean())
                    .isTrue();
            undrain(peer, "o2", "w1");
            // Event numbers of another run do not apply, so a console from another run gets all
            // events.
            assertThat(peer.ask("\"do\":\"events\",\"after\":500").getAsJsonArray("events"))
                    .isEmpty();
            assertThat(
                            peer.ask("\"do\":\"events\",\"after\":500,\"boot\":\"x\"")
                                    .getAsJsonArray("events"))
                    .isNotEmpty();
        }
    }

    /**
     * A console that subscribes and sends requests but reads nothing does not delay others, and the
     * node buffers a bounded amount for it.
     */
    @Test
    void consoleThatStopsReadingDoesNotBlockOthers() throws IOException {
        try (TestConsole stalled = peer();
                TestConsole peer = peer()) {
            stalled.write("{\"v\":1,\"id\":\"1\",\"do\":\"subscribe\"}\n");
            final Thread flood =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < 20_000; i++) {
                                        stalled.write(
                                                "{\"v\":1,\"id\":\""
                                                        + i
                                                        + "\",\"do\":\"workers\"}\n");
                                    }
                                } catch (IOException e) {
                                    // The socket is full and is closed at the end of the test.
                                }
                            });
            flood.start();
            // The flood is written as far as the node reads. The node has stopped reading, because
            // its answers are not read.
            await(() -> flood.getState() == Thread.State.RUNNABLE || !flood.isAlive());
            drain(peer, "o1", "w2");
            awaitRequests(40);
            undrain(peer, "o2", "w2");
            assertThat(flood.isAlive()).isTrue();
        }
    }

    @Test
    void limitsSessionsAndLineLength() throws IOException {
        final List<TestConsole> peers = new ArrayList<>();
        try {
            for (int i = 0; i < ControlServer.MAX_SESSIONS; i++) {
                peers.add(peer());
                peers.get(i).ask("\"do\":\"events\"");
            }
            try (TestConsole awaitRequests = peer()) {
                assertThat(awaitRequests.read().get("error").getAsString())
                        .isEqualTo("there are 16 consoles already; close one first");
                assertThat(awaitRequests.read()).isNull();
            }
            peers.get(0).write("x".repeat(17_000) + "\n");
            assertThat(peers.get(0).read().get("error").getAsString())
                    .isEqualTo("a line is longer than 16384 bytes");
            assertThat(peers.get(0).read()).isNull();
            peers.get(1).write("nonsense\n");
            assertThat(peers.get(1).read().get("ok").getAsBoolean()).isFalse();
            // An invalid line does not end the session.
            assertThat(peers.get(1).worker("w1").get("id").getAsString()).isEqualTo("w1");
            await(
                    () -> {
                        try (TestConsole again = peer()) {
                            // The place becomes free once the event loop has seen the end of the
                            // other session.
                            again.write("{\"v\":1,\"id\":\"1\",\"do\":\"events\"}\n");
                            return again.read().get("ok").getAsBoolean();
                        }
                    });
        } finally {
            for (final TestConsole each : peers) {
                each.close();
            }
        }
    }

    @Test
    void controlSocketIsAccessibleToOwnerOnly() throws IOException {
        assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(socket)))
                .isEqualTo("rw-------");
        assertThatThrownBy(
                        () ->
                                new Fleet(
                                                new Fleet.Plan(
                                                        2,
                                                        1,
                                                        1,
                                                        List.of(),
                                                        socket.toString(),
                                                        null))
                                        .start())
                .hasMessage("another node listens on the control socket " + socket);
        assertThatThrownBy(
                        () ->
                                new Fleet(
                                                new Fleet.Plan(
                                                        2,
                                                        1,
                                                        1,
                                                        List.of(),
                                                        null,
                                                        folder.resolve("state").toString()))
                                        .start())
                .hasMessageContaining("another node uses the state");
        final Path open =
                Files.createDirectory(
                        folder.resolve("open"),
                        PosixFilePermissions.asFileAttribute(
                                PosixFilePermissions.fromString("rwxr-xr-x")));
        assertThatThrownBy(
                        () ->
                                new Fleet(
                                                new Fleet.Plan(
                                                        2,
                                                        1,
                                                        1,
                                                        List.of(),
                                                        open.resolve("s").toString(),
                                                        null))
                                        .start())
                .hasMessageContaining("is open to others; chmod 700 it");
        final Path file = Files.createFile(folder.resolve("file"));
        assertThatThrownBy(
                        () ->
                                new Fleet(new Fleet.Plan(2, 1, 1, List.of(), file.toString(), null))
                                        .start())
                .hasMessageContaining("exists and is not a socket");
        assertThat(Files.exists(file)).isTrue();
    }
}
