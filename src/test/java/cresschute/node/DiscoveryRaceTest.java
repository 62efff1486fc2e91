package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.entry;
import static cresschute.node.TestNode.list;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatcherActions;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Events that cross in the calls to discovery. See docs/results/crossings.md. */
@Timeout(30)
class DiscoveryRaceTest extends RaceFixture {

    /**
     * The module's pause and a second call were to fit into the 6 s after which news counts as
     * told.
     */
    @Test
    void reopensSilentWatchAtOnce() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING)) {
            final Peer silent = watch(node);
            final Peer again = node.discovery();
            assertThat(again.read()).contains("?since=1&timeout_ms=1 ");
            assertThat(silent.isClosedByOther()).isTrue();
            // What the silent one says now is not heard.
            again.write(
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING"))));
            assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(again.read()).contains("?since=2&timeout_ms=2000 ");
        }
    }

    /**
     * A second silence was told as a failure: with the module's pause, the third call came after
     * 7.05 s.
     */
    @Test
    void retriesAtOnceAfterSecondSilentCall() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING)) {
            watch(node);
            final Peer secondSilent = node.discovery();
            assertThat(secondSilent.read()).contains("?since=1&timeout_ms=1 ");
            final Peer third = node.discovery();
            assertThat(third.read()).contains("?since=1&timeout_ms=1 ");
            assertThat(secondSilent.isClosedByOther()).isTrue();
            third.write(
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING"))));
            assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(third.read()).contains("?since=2&timeout_ms=2000 ");
        }
    }

    /** The first call of a whole list states no wait, and was waited for as long as a watch. */
    @Test
    void retriesFullListCallThatTimesOut() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                ServerSocket next = Peer.listen()) {
            watch(node);
            reload(
                    node,
                    text ->
                            text.replace(
                                    ":" + node.discovery.getLocalPort() + "\"",
                                    ":" + next.getLocalPort() + "\""));
            final Peer silent = Peer.accept(next);
            assertThat(silent.read()).startsWith("GET /registry/instances HTTP/1.1");
            final Peer again = Peer.accept(next);
            assertThat(again.read()).startsWith("GET /registry/instances HTTP/1.1");
            again.write(answer("200 OK", "", list(4, true, entry("s-1", node.worker, "DRAINING"))));
            assertThat(eventStarting(node, "listed")).isEqualTo("listed FULL 0DRAINING7000");
        }
    }

    /** An answer that trickles and never ends is a silent one. */
    @Test
    void reopensWatchWhoseResponseNeverEnds() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING)) {
            final Peer endless = watch(node);
            endless.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n");
            final Peer again = node.discovery();
            assertThat(again.read()).contains("?since=1&timeout_ms=1 ");
        }
    }

    /**
     * A stale list brought a drained worker back; a discovery service that counts anew is believed
     * in the end.
     */
    @Test
    void acceptsOlderListOnlyAfterSecondResponse() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING)) {
            final Peer stale = watch(node);
            stale.write(answer("200 OK", "", list(0, true, entry("s-2", node.worker, "SERVING"))));
            assertThat(node.event()).isEqualTo("listed FAILED");
            node.act(DispatcherActions::pollEndpointList);
            final Peer again = node.discovery();
            assertThat(again.read()).startsWith("GET /registry/instances HTTP/1.1");
            assertThat(node.event()).isEqualTo("listed FAILED");
            again.write(answer("200 OK", "", list(0, true, entry("s-2", node.worker, "SERVING"))));
            assertThat(node.event()).startsWith("listed FULL 1READY");
            assertThat(again.read()).contains("?since=0&timeout_ms=2000 ");
        }
    }

    /**
     * The old discovery service's answer lies unread when the file names another one: it is not
     * taken.
     */
    @Test
    void ignoresResponseOfPreviousDiscoveryAddress() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                ServerSocket next = Peer.listen()) {
            final Peer old = watch(node);
            final String text =
                    node.configText()
                            .replace(
                                    ":" + node.discovery.getLocalPort() + "\"",
                                    ":" + next.getLocalPort() + "\"");
            final NodeConfig moved = NodeConfigParser.parse(text, java.util.Map.of());
            whileLoopBlocked(
                    node,
                    actions -> {
                        old.write(
                                answer(
                                        "200 OK",
                                        "",
                                        list(9, false, entry("s-1", node.worker, "DRAINING"))));
                        node.server.reload(() -> moved);
                        actions.pollEndpointList();
                    });
            final Peer discovery = Peer.accept(next);
            assertThat(discovery.read()).startsWith("GET /registry/instances HTTP/1.1");
            assertThat(eventStarting(node, "listed")).isEqualTo("listed FAILED");
            discovery.write(
                    answer("200 OK", "", list(4, true, entry("s-1", node.worker, "SERVING"))));
            assertThat(node.event()).isEqualTo("listed FULL 0READY7000");
            assertThat(discovery.read()).contains("?since=4&");
        }
    }
}
