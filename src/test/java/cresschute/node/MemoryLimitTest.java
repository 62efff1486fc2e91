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
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a node with the memory limits of the deploy file, while clients or a worker send more than
 * its memory holds. The node must neither end nor stop answering.
 */
@Timeout(120)
class MemoryLimitTest {

    /** Just under the longest body that is buffered whole, bytes. */
    private static final int BODY_BYTES = 65_000;

    /** The bytes of the second request's body that a client does not send. */
    private static final int MISSING_BYTES = 500;

    /** Longer than a test, so that no job is given up during one. */
    private static final String JOB_TIME_US = "90000000";

    private static final Duration MAX_WAIT = Duration.ofSeconds(20);

    @TempDir private Path folder;

    private final List<Peer> clients = new ArrayList<>();
    private ServerSocket discovery;
    private AnsweringWorker worker;
    private ProgramProcess node;
    private InetSocketAddress address;
    private int requestCount;

    private void start(AnsweringWorker newWorker) throws Exception {
        discovery = Peer.listen();
        worker = newWorker;
        final String list = TestNode.list(1, true, TestNode.entry("s-1", worker.server, "SERVING"));
        final Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                TestNode.config(discovery, list)
                        .replace("\"sockets\":200", "\"sockets\":1024")
                        .replace("\"goalTimeUs\":400000", "\"goalTimeUs\":" + JOB_TIME_US)
                        .replace("\"deadlineUs\":5000000", "\"deadlineUs\":" + JOB_TIME_US));
        final ProcessBuilder builder =
                new ProcessBuilder(
                        ProgramProcess.platformCommand(
                                ProgramProcess.deployedMemoryFlags(), "serve"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        node = ProgramProcess.start(builder);
        address =
                new InetSocketAddress(
                        "127.0.0.1", ProgramProcess.portIn(node.awaitLine(" listens on ")));
    }

    @AfterEach
    void stop() throws IOException {
        closeClients();
        node.close();
        worker.close();
        discovery.close();
    }

    private void closeClients() throws IOException {
        for (final Peer each : clients) {
            each.close();
        }
        clients.clear();
    }

    private Peer connect() throws IOException {
        final Peer client = Peer.connect(address);
        clients.add(client);
        return client;
    }

    private String nextRequest() {
        requestCount++;
        return TestNode.request("r" + requestCount, "", "x".repeat(BODY_BYTES));
    }

    private void assertNodeAnswers() throws Exception {
        assertThat(node.linesSoFar()).noneMatch(line -> line.contains("OutOfMemoryError"));
        assertThat(node.process().isAlive()).isTrue();
        try (Peer client = Peer.connect(address)) {
            client.write("GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n");
            assertThat(client.read()).startsWith("HTTP/1.1 200");
        }
    }

    /** Sends whole requests and the half of a further one. */
    private void sendWholeAndHalf(Peer client, int wholeRequests) throws IOException {
        for (int i = 0; i < wholeRequests; i++) {
            client.write(nextRequest());
        }
        final String half = nextRequest();
        client.write(half.substring(0, half.length() - MISSING_BYTES));
    }

    private void drainWorker() throws Exception {
        final Peer watch = Peer.accept(discovery);
        watch.read();
        watch.write(
                TestNode.answer(
                        "200 OK",
                        "",
                        TestNode.list(2, true, TestNode.entry("s-1", worker.server, "DRAINING"))));
        assertThat(watch.read()).contains("since=2&");
    }

    /**
     * Guards against requests of clients that have left keeping their bodies, and the half of a
     * further request, in memory until the worker answers.
     */
    @Test
    void forgetsRequestsOfClientsThatHaveLeft() throws Exception {
        start(new AnsweringWorker(true));
        final int clientsAtOnce = 60;
        final int rounds = 7;
        for (int round = 1; round <= rounds; round++) {
            for (int i = 0; i < clientsAtOnce; i++) {
                sendWholeAndHalf(connect(), 1);
            }
            final int jobs = round * clientsAtOnce;
            Awaitility.await().atMost(MAX_WAIT).until(() -> worker.jobs() >= jobs);
            closeClients();
        }
        for (int i = 0; i < 4 * clientsAtOnce; i++) {
            sendWholeAndHalf(connect(), 1);
        }
        assertNodeAnswers();
    }

    /**
     * Guards against clients filling the memory with requests that wait for a worker, and with
     * halves of others: what does not fit is rejected.
     */
    @Test
    void rejectsRequestsThatDoNotFitIntoMemory() throws Exception {
        start(new AnsweringWorker(true));
        final int connections = 200;
        final int wholeRequestsOfEach = 8;
        drainWorker();
        for (int i = 0; i < connections; i++) {
            sendWholeAndHalf(connect(), wholeRequestsOfEach);
        }
        node.awaitLine("no memory for a request");
        assertNodeAnswers();
    }

    /**
     * Guards against clients that stop in the middle of a head after a long body holding a long
     * read buffer each, so that no direct memory is left to read other clients.
     */
    @Test
    void halfHeadsLeaveMemoryToReadOtherClients() throws Exception {
        final int connections = 340;
        start(new AnsweringWorker(false));
        final String head = "POST /check HTTP/1.1\r\nX-Other: " + "y".repeat(1_000);
        for (int i = 0; i < connections; i++) {
            connect().write(nextRequest() + nextRequest() + head);
        }
        assertNodeAnswers();
    }

    /**
     * Guards against a worker that sends lines without an end filling the memory: a line that does
     * not fit ends its attempt.
     */
    @Test
    void linesWithoutEndLeaveMemory() throws Exception {
        final int connections = 340;
        final String endlessLine =
                "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "z".repeat(250_000);
        start(new AnsweringWorker(id -> endlessLine));
        for (int i = 0; i < connections; i++) {
            requestCount++;
            connect().write(TestNode.request("r" + requestCount, "", ""));
        }
        node.awaitLine("there is no memory for it");
        assertNodeAnswers();
    }

    /**
     * Guards against results that wait behind an earlier response of their connection filling the
     * memory.
     */
    @Test
    void waitingResultsLeaveMemory() throws Exception {
        final int connections = 100;
        final int resultsOfEach = 15;
        final String result = "z".repeat(BODY_BYTES);
        start(
                new AnsweringWorker(
                        id ->
                                id.startsWith("slow")
                                        ? ""
                                        : TestNode.answer(
                                                "200 OK",
                                                "",
                                                "{\"id\":\""
                                                        + id
                                                        + "\",\"state\":\"done\",\"result\":\""
                                                        + result
                                                        + "\"}\n")));
        for (int i = 0; i < connections; i++) {
            final Peer client = connect().write(TestNode.request("slow" + i, "", ""));
            for (int j = 0; j < resultsOfEach; j++) {
                requestCount++;
                client.write(TestNode.request("r" + requestCount, "", ""));
            }
        }
        node.awaitLine("a result waits for earlier responses");
        assertNodeAnswers();
    }
}
