package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.entry;
import static cresschute.node.TestNode.list;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests each rule of the protocol with discovery over real sockets. */
@Timeout(30)
class DiscoverySocketRulesTest extends SocketFixture {

    @Test
    void watchesListWithConsecutiveCalls() throws Exception {
        try (TestNode node = new TestNode();
                ServerSocket moved = Peer.listen();
                Peer client = node.client()) {
            assertThat(node.events.poll(8, TimeUnit.SECONDS)).isEqualTo("listed CACHED 0READY7000");
            node.act(actions -> actions.pollEndpointList());
            final Peer discovery = node.discovery();
            assertThat(discovery.read()).startsWith("GET /registry/instances?since=1&timeout_ms=");
            assertThat(node.event()).isEqualTo("listed FAILED");
            discovery.write(
                    answer("200 OK", "", list(2, false, entry("s-2", node.worker, "DRAINING"))));
            // The dispatcher does not poll again: the watch sends the next call by itself.
            assertThat(discovery.read()).contains("since=2&");
            assertThat(node.event()).isEqualTo("listed CHANGES 1DRAINING7000");
            discovery.write(answer("200 OK", "", list(3, true, entry("s-1", moved, "SERVING"))));
            assertThat(node.event()).isEqualTo("listed FULL 0READY7000");
            client.write(request("r1", "", ""));
            assertThat(Peer.accept(moved).read()).contains("r1");
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "reset",
            textBlock =
                    """
                    503 No | {}
                    200 OK | {"version":2,"full":false}
                    200 OK | {"version":2,"full":false,"servers":[{"id":"s-1"}]}
                    200 OK | {"version":2,"full":false,"servers":[]} x
                    200 OK | no JSON
                    reset  | reset
                    """)
    void reportsFailedCall(String status, String body) throws Exception {
        try (TestNode node = new TestNode()) {
            node.act(actions -> actions.pollEndpointList());
            final Peer discovery = node.discovery();
            discovery.read();
            assertThat(node.event()).isEqualTo("listed FAILED");
            if (status == null) {
                discovery.reset();
            } else {
                discovery.write(answer(status, "", body));
            }
            assertThat(node.event()).isEqualTo("listed FAILED");
            node.act(actions -> actions.pollEndpointList());
            assertThat(node.discovery().read()).contains("since=1&");
        }
    }

    @Test
    void reportsFailureOfSilentDiscovery() throws Exception {
        try (TestNode node = new TestNode()) {
            node.act(actions -> actions.pollEndpointList());
            node.discovery().read();
            assertThat(node.event()).isEqualTo("listed FAILED");
            assertThat(node.event()).isEqualTo("listed FAILED");
        }
    }
}
