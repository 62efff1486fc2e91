package cresschute.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.dispatch.SlowStartSettings;
import cresschute.node.Json;
import cresschute.testbed.Observation.AttemptRejected;
import cresschute.testbed.Observation.EffectApplied;
import cresschute.testbed.Observation.RunDone;
import cresschute.testbed.Observation.RunStarted;
import cresschute.testbed.Observation.WorkerListed;
import cresschute.testbed.Observation.WorkerOverloaded;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks the stand-ins for a worker and for discovery against the protocol, each alone, over plain
 * sockets.
 */
@Timeout(30)
class StandInsTest {

    private static final SlowStartSettings COLD =
            new SlowStartSettings(0.5, 60_000_000, 2, 1_000_000);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Recorder recorder = new Recorder();
    private final CellKeys keys = new CellKeys(40_000_000);
    private final List<Socket> sockets = new ArrayList<>();

    @AfterEach
    void end() throws IOException {
        for (final Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private WorkerStandIn worker(String id, int slots) {
        final WorkerStandIn worker =
                new WorkerStandIn(
                        loop,
                        recorder,
                        RandomSource.XO_SHI_RO_256_PP.create(1L),
                        new WorkerStandIn.Spec(id, 0, "local", "std", slots, 1),
                        keys,
                        COLD);
        worker.start();
        return worker;
    }

    private Socket connect(InetSocketAddress to) throws IOException {
        final Socket socket = new Socket();
        socket.setSoTimeout(10_000);
        socket.connect(to);
        sockets.add(socket);
        return socket;
    }

    private BufferedReader send(InetSocketAddress to, String text) throws IOException {
        final Socket socket = connect(to);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private static String job(String id, String headers, long workUs) {
        final String body = "{\"work_us\":" + workUs + ",\"slots\":1}";
        return "POST /x HTTP/1.1\r\nHost: w\r\n"
                + (id == null ? "" : "X-Request-Id: " + id + "\r\n")
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: w\r\n\r\n";
    }

    private static JsonObject lineWith(BufferedReader answer, String part) throws IOException {
        String line = answer.readLine();
        while (!line.contains(part)) {
            line = answer.readLine();
        }
        return Json.object(line);
    }

    private void await(Class<? extends Observation> kind, int count) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(20))
                .until(
                        () ->
                                recorder.observations().stream().filter(kind::isInstance).count()
                                        >= count);
    }

    @Test
    void workerReportsStartProgressAndEnd() throws IOException {
        final BufferedReader answer = send(worker("w1", 1).address(), job("a", "", 1_200_000));
        assertThat(answer.readLine()).isEqualTo("HTTP/1.1 200 OK");
        assertThat(lineWith(answer, "started").get("id").getAsString()).isEqualTo("a");
        assertThat(lineWith(answer, "running").get("share").getAsDouble()).isBetween(0.7, 1.0);
        final JsonObject done = lineWith(answer, "done");
        assertThat(done.get("result").getAsString()).isEqualTo("w1 did a");
        assertThat(done.getAsJsonObject("load").keySet()).containsExactly("x0", "queue");
    }

    /**
     * Jobs run in order of arrival as slots allow; beyond eight waiting jobs per slot the worker
     * rejects requests unstarted.
     */
    @Test
    void workerQueuesThenRejectsRequests() throws IOException {
        final WorkerStandIn worker = worker("w1", 1);
        for (int i = 0; i < 9; i++) {
            send(worker.address(), job("j" + i, "", i == 0 ? 3_000_000 : 50_000));
            final int sent = i + 1;
            Awaitility.await()
                    .pollInterval(Duration.ofMillis(10))
                    .until(
                            () ->
                                    recorder.observations().stream()
                                                    .filter(
                                                            Observation.AttemptReceived.class
                                                                    ::isInstance)
                                                    .count()
                                            == sent);
        }
        final BufferedReader full = send(worker.address(), job("full", "", 1));
        assertThat(full.readLine()).isEqualTo("HTTP/1.1 503 Service Unavailable");
        assertThat(full.lines().takeWhile(line -> !line.isEmpty()).map(String::toLowerCase))
                .contains("x-not-run: 1")
                .anyMatch(line -> line.startsWith("x-load: x0="));
        await(AttemptRejected.class, 1);
        await(RunStarted.class, 3);
        assertThat(
                        recorder.observations().stream()
                                .filter(RunStarted.class::isInstance)
                                .map(seen -> ((RunStarted) seen).id()))
                .startsWith("j0", "j1", "j2");
    }

    /**
     * A duplicate in the cell takes the result of the first run, while it runs and afterwards, and
     * has no effect.
     */
    @Test
    void cellDropsDuplicatesOfKey() throws IOException {
        final String key = "Idempotency-Key: k\r\n";
        final BufferedReader first = send(worker("w1", 2).address(), job("a", key, 400_000));
        await(RunStarted.class, 1);
        final WorkerStandIn other = worker("w2", 2);
        final BufferedReader during = send(other.address(), job("b", key, 400_000));
        assertThat(lineWith(first, "done").get("result").getAsString()).isEqualTo("w1 did a");
        assertThat(lineWith(during, "done").get("result").getAsString()).isEqualTo("w1 did a");
        final BufferedReader after = send(other.address(), job("c", key, 400_000));
        assertThat(lineWith(after, "done").get("result").getAsString()).isEqualTo("w1 did a");
        await(RunDone.class, 3);
        assertThat(recorder.observations().stream().filter(EffectApplied.class::isInstance))
                .hasSize(1);
    }

    /** A run that is lost with its worker releases its key. */
    @Test
    void crashDuringRunReleasesKey() throws IOException {
        final String key = "Idempotency-Key: k\r\n";
        final WorkerStandIn dying = worker("w1", 2);
        send(dying.address(), job("a", key, 5_000_000));
        await(RunStarted.class, 1);
        loop.submit(dying::crash).syncUninterruptibly();
        final BufferedReader again = send(worker("w2", 2).address(), job("b", key, 1));
        assertThat(lineWith(again, "done").get("result").getAsString()).isEqualTo("w2 did b");
    }

    /**
     * A cold worker of two slots crashes when it is sent more than twice its half capacity within a
     * second.
     */
    @Test
    void coldWorkerCrashesWhenOverloaded() throws IOException {
        final WorkerStandIn worker = worker("w1", 2);
        loop.submit(
                        () -> {
                            worker.crash();
                            worker.boot();
                        })
                .syncUninterruptibly();
        final InetSocketAddress at = worker.address();
        Awaitility.await()
                .until(
                        () -> {
                            try {
                                send(at, job("a", "", 900_000));
                                return true;
                            } catch (IOException e) {
                                // The worker does not listen yet.
                                return false;
                            }
                        });
        send(at, job("b", "", 900_000));
        Awaitility.await()
                .until(
                        () ->
                                recorder.observations().stream()
                                                .filter(
                                                        Observation.AttemptReceived.class
                                                                ::isInstance)
                                                .count()
                                        == 2);
        assertThat(recorder.observations()).noneMatch(WorkerOverloaded.class::isInstance);
        send(at, job("c", "", 900_000));
        await(WorkerOverloaded.class, 1);
    }

    @Test
    void loadReportsAreDelayedAsConfigured() throws IOException {
        final WorkerStandIn worker = worker("w1", 2);
        assertThat(Json.object(stats(worker)).get("x0").getAsDouble()).isEqualTo(2);
        loop.submit(() -> worker.setReportDelay(60_000_000)).syncUninterruptibly();
        send(worker.address(), job("a", "", 20_000_000));
        final WorkerStandIn fresh = worker("w2", 2);
        send(fresh.address(), job("b", "", 20_000_000));
        Awaitility.await().until(() -> Json.object(stats(fresh)).get("x0").getAsDouble() == 1);
        assertThat(Json.object(stats(worker)).get("x0").getAsDouble()).isEqualTo(2);
    }

    private String stats(WorkerStandIn worker) throws IOException {
        final BufferedReader answer =
                send(
                        worker.address(),
                        get("/stats").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        String line = answer.readLine();
        while (!line.isEmpty()) {
            line = answer.readLine();
        }
        final char[] body = new char[64];
        return new String(body, 0, answer.read(body));
    }

    @Test
    void workerAnswers404WithoutRequestId() throws IOException {
        assertThat(send(worker("w1", 1).address(), job(null, "", 1)).readLine())
                .isEqualTo("HTTP/1.1 404 Not Found");
    }

    @Test
    void discoveryServesListAndChangesAndCanGoDown() throws IOException {
        final DiscoveryStandIn discovery = new DiscoveryStandIn(loop, recorder);
        final InetSocketAddress at = discovery.start();
        final WorkerStandIn worker = worker("w1", 1);
        loop.submit(() -> discovery.setState(worker, "SERVING", 0)).syncUninterruptibly();
        Awaitility.await().until(() -> list(at, "").getAsJsonArray("servers").size() == 1);
        final long version = list(at, "").get("version").getAsLong();
        assertThat(list(at, "").get("full").getAsBoolean()).isTrue();
        assertThat(list(at, "?since=" + version + "&timeout_ms=50").getAsJsonArray("servers"))
                .isEmpty();
        loop.schedule(() -> discovery.setState(worker, "DRAINING", 0), 100, TimeUnit.MILLISECONDS);
        final JsonObject changed = list(at, "?since=" + version + "&timeout_ms=20000");
        assertThat(changed.get("full").getAsBoolean()).isFalse();
        assertThat(changed.toString()).contains("\"state\":\"DRAINING\"");
        loop.submit(() -> discovery.setState(worker, "DELETED", 0)).syncUninterruptibly();
        assertThat(list(at, "?since=" + (version + 1) + "&timeout_ms=20000").toString())
                .contains("DELETED");
        assertThat(
                        recorder.observations().stream()
                                .filter(WorkerListed.class::isInstance)
                                .map(seen -> ((WorkerListed) seen).state()))
                .contains("SERVING", "DRAINING", "DELETED");
        loop.submit(() -> discovery.setDown(true)).syncUninterruptibly();
        assertThat(send(at, get("/registry/instances")).readLine())
                .isEqualTo("HTTP/1.1 503 Service Unavailable");
    }

    private JsonObject list(InetSocketAddress at, String query) throws IOException {
        final BufferedReader answer = send(at, get("/registry/instances" + query));
        int length = 0;
        for (String line = answer.readLine(); !line.isEmpty(); line = answer.readLine()) {
            length =
                    line.startsWith("content-length: ")
                            ? Integer.parseInt(line.substring(16))
                            : length;
        }
        final char[] body = new char[length];
        int read = 0;
        while (read < length) {
            read += answer.read(body, read, length - read);
        }
        return Json.object(new String(body));
    }
}
