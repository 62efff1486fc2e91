package cresschute.node;

import static cresschute.node.LongBodyFixture.KIB;
import static cresschute.node.LongBodyFixture.LONG_STALL_TIMEOUT_US;
import static cresschute.node.LongBodyFixture.MIB;
import static cresschute.node.LongBodyFixture.bodies;
import static cresschute.node.LongBodyFixture.bufferedBytes;
import static cresschute.node.LongBodyFixture.head;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.settings.NodeSettings.ClassBodies;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pipelined requests with short and long bodies on one connection. */
@Timeout(30)
class PipelinedBodyRulesTest {

    private static final int MAX_IN_FLIGHT = 16;

    private static String nextRequestedEvent(TestNode node) throws InterruptedException {
        String event = node.event();
        while (event != null && !event.startsWith("requested")) {
            event = node.event();
        }
        return event;
    }

    /** The queued request is submitted while the long body of the request after it arrives. */
    @Test
    void queuedRequestKeepsItsBodyWhileLongBodyArrivesBehindIt() throws Exception {
        try (TestNode node =
                        TestNode.configured(
                                UnaryOperator.identity(),
                                (actions, request) -> {},
                                bodies(
                                        new ClassBodies(
                                                64L * MIB,
                                                KIB,
                                                LONG_STALL_TIMEOUT_US,
                                                false,
                                                false)));
                Peer client = node.client()) {
            for (int i = 1; i <= MAX_IN_FLIGHT + 1; i++) {
                client.write(request("r" + i, "", "body of r" + i));
            }
            client.write(head("r18", MIB, "")).writeBytes(0, 64 * KIB);
            while (bufferedBytes(node) == 0) {
                Thread.onSpinWait();
            }
            for (int i = 1; i <= MAX_IN_FLIGHT; i++) {
                assertThat(nextRequestedEvent(node)).startsWith("requested " + i + " ");
            }
            node.act(actions -> actions.reject(1, 0));
            node.act(actions -> actions.reject(2, 0));
            assertThat(nextRequestedEvent(node)).startsWith("requested 17 ");
            node.act(actions -> actions.send(17, 0, Long.MAX_VALUE));
            assertThat(node.worker().read())
                    .contains("X-Request-Id: r17")
                    .endsWith("\r\n\r\nbody of r17");
        }
    }
}
