package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Events that cross on connections to workers that are kept. See docs/results/crossings.md. */
@Timeout(30)
class KeptConnectionCrossingRulesTest extends CrossingFixture {

    /**
     * Written to a connection whose end was in the buffer, the request ended as a reset and may
     * have run.
     */
    @Test
    void writesNoRequestToAKeptConnectionThatHasEnded() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            holding(
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
     * A second answer that names no request was taken for the next request's: as proof that it
     * never ran.
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
    void takesNoAnswerThatWasThereBeforeTheRequest(String status, String header) throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            holding(
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
     * The second answer comes after the next request was written; that one's own follows, and alone
     * counts.
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
    void passesOverASecondAnswerToTheRequestBefore(String status, String header, String line)
            throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(worker.read()).contains("X-Request-Id: r2");
            worker.write(answer(status, header + "\r\n", line) + done("r2"));
            assertThat(next.read()).endsWith("of r2");
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 SERVED");
            assertThat(worker.isClosedByOther()).isTrue();
        }
    }

    /** Whether it was the next request's own answer is never known: it may have run. */
    @Test
    void takesNoSecondAnswerForProofWhereTheConnectionEndsBehindIt() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(worker.read()).contains("X-Request-Id: r2");
            worker.write(answer("503 No", "X-Not-Run: 1\r\n", "")).disconnect();
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 BROKEN closed false");
        }
    }

    /** One worker's second answer had every kept connection to all others closed for 15 s. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "what is this\r\n\r\n", "x"})
    void closesAloneTheKeptConnectionOnWhichBytesCameUnasked(String bytes) throws Exception {
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
