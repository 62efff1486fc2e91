package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.entry;
import static cresschute.node.TestNode.list;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatcherActions;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Races between events in the calls to discovery. See docs/results/crossings.md. */
@Timeout(30)
class DiscoveryRaceTest extends RaceFixture {

    /**
     * Guards against reporting a timed-out watch as a failure: the dispatcher's pause and a second
     * call must fit into the 6 s within which a change must take effect.
     */
    @Test
    void reopensSilentWatchAtOnce() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING)) {
            final Peer silent = watch(node);
            final Peer again = node.discovery();
            assertThat(again.read()).contains("?since=1&timeout_ms=1 ");
            assertThat(silent.isClosedByOther()).isTrue();
            // The response to the timed-out call is ignored, and the next watch continues from
            // version 2.
            again.write(
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING"))));
            assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(again.read()).contains("?since=2&timeout_ms=2000 ");
        }
    }

    /**
     * Guards against reporting a second timeout as a failure: with the dispatcher's pause, the
     * third call started only after 7.05 s.
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

    /**
     * Guards against the timeout of a watch being used for a full list, whose call states no wait.
     */
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

    /** A response that starts and never ends counts as a timeout. */
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
     * Guards against a stale list that brings a drained worker back. A discovery service that
     * restarts its version count is still accepted at the second response.
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
     * A response of the previous discovery service that is unread when the configuration changes to
     * another address is ignored.
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
