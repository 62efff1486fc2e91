package cresschute.node;

import static cresschute.node.TestNode.list;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests events that race with a shutdown. See docs/results/crossings.md. */
@Timeout(30)
class ShutdownRaceTest extends RaceFixture {

    /** Regression: connections that waited to be accepted were reset when the listener closed. */
    @Test
    void acceptsConnectionsQueuedBeforeListenerCloses() throws Exception {
        try (TestNode node = new TestNode()) {
            whileLoopBlocked(
                    node,
                    actions -> {
                        peers.add(node.client().write(request("r1", "", "")));
                        peers.add(node.client().write(request("r2", "", "")));
                        node.server.clientListener().stopAccepting();
                    });
            final Peer first = node.worker();
            final Peer second = node.worker();
            for (final Peer worker : List.of(first, second)) {
                worker.write(done(worker.read().contains("X-Request-Id: r1") ? "r1" : "r2"));
            }
            assertThat(peers.get(0).read()).endsWith("of r1");
            assertThat(peers.get(1).read()).endsWith("of r2");
        }
    }

    /** Regression: closing an idle connection reset it while a request lay unread. */
    @Test
    void servesRequestUnreadOnIdleConnectionBeforeClosing() throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            final Peer worker = keepConnection(node, client);
            whileLoopBlocked(
                    node,
                    actions -> {
                        client.write(request("r2", "", ""));
                        node.server.clientListener().stopAccepting();
                    });
            worker.read();
            worker.write(done("r2"));
            assertThat(client.read()).endsWith("of r2").contains("\r\nconnection: close\r\n");
            assertThat(client.readToEnd()).isNotNull().isEmpty();
        }
    }

    /**
     * Closing a socket with unread data sends a reset, and the reset can discard the answer just
     * written.
     */
    @Test
    void closesAfterLastAnswerWithoutReset() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client()) {
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            whileLoopBlocked(
                    node,
                    actions -> {
                        node.server.clientListener().stopAccepting();
                        client.write(request("r2", "", ""));
                        actions.reject(1, 0);
                    });
            assertThat(client.read())
                    .startsWith("HTTP/1.1 503")
                    .contains("\r\nconnection: close\r\n");
            assertThat(client.readToEnd()).isNotNull().isEmpty();
        }
    }

    /**
     * Regression: a request accepted late in a shutdown and sent to a hanging worker had no answer
     * when the platform killed the node.
     */
    @Test
    void answersAllRequestsBeforePlatformKill() throws Exception {
        try (TestNode node = new TestNode();
                Peer early = node.client();
                Peer late = node.client()) {
            early.write(request("r1", "", ""));
            readWithoutAnswering(node);
            final String request = request("r2", "", "body");
            late.write(request.substring(0, request.length() - 1));
            final CompletableFuture<Void> stopped = node.server.stop();
            final Future<?> killed =
                    node.server.loop().schedule(() -> {}, 3_700, TimeUnit.MILLISECONDS);
            assertThat(node.client().isClosedByOther()).isTrue();
            late.write(request.substring(request.length() - 1));
            readWithoutAnswering(node);
            assertThat(early.read()).startsWith("HTTP/1.1 503");
            assertThat(late.read())
                    .startsWith("HTTP/1.1 503")
                    .contains("\r\nconnection: close\r\n");
            assertThat(killed.isDone()).isFalse();
            stopped.get(8, TimeUnit.SECONDS);
        }
    }

    /**
     * SIGTERM arrives while the node starts: it closes connections that clients still open, and
     * stops.
     */
    @Test
    void stopsWhenAskedBeforeListening() throws Exception {
        try (ServerSocket discovery = Peer.listen()) {
            final NodeServer node =
                    new NodeServer(
                            NodeConfigParser.parse(
                                    TestNode.config(discovery, list(1, true, "")),
                                    java.util.Map.of()));
            final CompletableFuture<Void> stopped = node.stop();
            try (Peer client = Peer.connect(node.start())) {
                assertThat(client.isClosedByOther()).isTrue();
            }
            stopped.get(8, TimeUnit.SECONDS);
        }
    }

    /**
     * Requests that may have taken effect must fail rather than be rejected, because a rejection
     * promises that a retry does no harm.
     */
    @Test
    void failsRequestsThatMayHaveRunBeforePlatformKill() throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            client.write(
                    "POST /file HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
                            + "Content-Length: 0\r\n\r\n");
            readWithoutAnswering(node);
            final CompletableFuture<Void> stopped = node.server.stop();
            node.server.stop();
            assertThat(client.read()).startsWith("HTTP/1.1 500");
            stopped.get(8, TimeUnit.SECONDS);
        }
    }
}
