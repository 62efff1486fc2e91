package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Races between events on kept (idle) connections to workers. See docs/results/crossings.md. */
@Timeout(30)
class IdleConnectionRaceTest extends RaceFixture {

    /**
     * Guards against writing a request to a connection whose close was already in the receive
     * buffer: the attempt ended as broken, so the request counted as one that may have run.
     */
    @Test
    void writesNoRequestToClosedKeptConnection() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keepConnectionWithPendingRequest(node, client, next);
            whileLoopBlocked(
                    node,
                    actions -> {
                        worker.disconnect();
                        actions.send(2, 0, Long.MAX_VALUE);
                    });
            final Peer fresh = node.worker();
            assertThat(fresh.read()).contains("X-Request-Id: r2");
            fresh.write(done("r2"));
            assertThat(next.read()).endsWith("of r2");
        }
    }

    /**
     * Guards against taking a duplicate response without a request id for the response to the next
     * request, and thereby as proof that the next request never ran.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    503 No | X-Not-Run: 1
                    500 No | X-Load: x0=1
                    200 OK | X-Load: x0=1
                    """)
    void ignoresResponseReceivedBeforeRequestWasWritten(String status, String header)
            throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keepConnectionWithPendingRequest(node, client, next);
            whileLoopBlocked(
                    node,
                    actions -> {
                        worker.write(answer(status, header + "\r\n", ""));
                        actions.send(2, 0, Long.MAX_VALUE);
                    });
            final Peer fresh = node.worker();
            assertThat(fresh.read()).contains("X-Request-Id: r2");
            fresh.write(done("r2"));
            assertThat(next.read()).endsWith("of r2");
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 SERVED");
        }
    }

    /**
     * The duplicate response arrives after the next request was written. The next request's own
     * response follows, and only that one counts.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    503 No | X-Not-Run: 1 | ''
                    500 No | X-Load: x0=1 | ''
                    200 OK | X-Load: x0=1 | {"id":"r1","from":"s-1","state":"returned"}
                    200 OK | X-Load: x0=1 | {"id":"r1","from":"s-1","state":"done","result":"again"}
                    """)
    void skipsDuplicateResponseToPreviousRequest(String status, String header, String line)
            throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keepConnectionWithPendingRequest(node, client, next);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(worker.read()).contains("X-Request-Id: r2");
            worker.write(answer(status, header + "\r\n", line) + done("r2"));
            assertThat(next.read()).endsWith("of r2");
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 SERVED");
            assertThat(worker.isClosedByOther()).isTrue();
        }
    }

    /**
     * The node cannot know whether the response belonged to the next request, so that request may
     * have run.
     */
    @Test
    void treatsLoneDuplicateResponseBeforeCloseAsBroken() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keepConnectionWithPendingRequest(node, client, next);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(worker.read()).contains("X-Request-Id: r2");
            worker.write(answer("503 No", "X-Not-Run: 1\r\n", "")).disconnect();
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 BROKEN closed false");
        }
    }

    /**
     * Guards against closing too much: a duplicate response of one worker caused every kept
     * connection to all other workers to be closed for 15 s.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "what is this\r\n\r\n", "x"})
    void closesOnlyTheKeptConnectionThatReceivedUnsolicitedBytes(String bytes) throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client();
                Peer other = node.client()) {
            client.write(request("r1", "", ""));
            final Peer first = node.worker();
            first.read();
            other.write(request("r2", "", ""));
            final Peer second = node.worker();
            second.read();
            first.write(done("r1"));
            client.read();
            second.write(done("r2"));
            other.read();
            first.write(bytes.length() > 1 ? bytes : bytes + "\r\n\r\n");
            assertThat(first.isClosedByOther()).isTrue();
            client.write(request("r3", "", ""));
            assertThat(second.read()).contains("X-Request-Id: r3");
        }
    }
}
