package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests messages between dispatchers, which the configuration gives a node no way to send. */
@Timeout(30)
class PeerMessageTest extends RaceFixture {

    /**
     * Guards against a broken invariant, and a failed assertion in a debug build, whenever a worker
     * hangs where the settings allow such messages.
     */
    @Test
    void dropsMessageThatSettingsAllow() throws Exception {
        try (TestNode node =
                TestNode.configured(
                        text ->
                                text.replace(
                                        "\"connIdleUs\":2000000",
                                        "\"connIdleUs\":2000000,\"peerMessages\":true"),
                        SEND_NOTHING)) {
            node.act(actions -> actions.reportUnresponsive(0, 0));
            awaitTurn(node);
            assertThat(node.server.invariantBreaches()).isZero();
        }
    }
}
