package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.control.OperatorEvent;
import org.junit.jupiter.api.Test;

class OperatorEventLogTest {

    @Test
    void numbersAndTimestampsEventsInOrder() {
        final long[] nowUs = {5};
        final OperatorEventLog log = new OperatorEventLog(() -> nowUs[0]);
        log.record(OperatorEventKind.DRAINED, "w1", "w1 drained by ann");
        nowUs[0] = 9;
        log.record(OperatorEventKind.NODE_STOPPING, "the node is stopping");
        assertThat(log.events().after(0).events())
                .containsExactly(
                        new OperatorEvent(1, 5, "drained", "w1", "w1 drained by ann"),
                        new OperatorEvent(2, 9, "node_stopping", null, "the node is stopping"));
    }

    /** The names are part of the console protocol in docs/console.md and of the log format. */
    @Test
    void kindsKeepTheirWireNames() {
        assertThat(OperatorEventKind.values())
                .extracting(OperatorEventKind::wireName)
                .containsExactly(
                        "drained",
                        "undrained",
                        "drain_over",
                        "listed",
                        "condition",
                        "node_stopping");
    }
}
