package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.Job;
import org.junit.jupiter.api.Test;

/** The memory that a queued request counts for, and the wait time left when it is submitted. */
class QueuedRequestTest {

    private static final long RECEIVED_NS = 5_000_000_000L;

    private final QueuedRequest queued =
            new QueuedRequest(
                    null,
                    new RequestHead("r1", "/check", null, new Job(0, 0, 1, 0, 0, false), 4_000),
                    new byte[100],
                    RECEIVED_NS);

    @Test
    void subtractsTimeInQueueFromWait() {
        final RequestHead later = queued.headAt(RECEIVED_NS + 1_500_000);
        assertThat(later.waitUs()).isEqualTo(2_500);
        assertThat(later.requestId()).isEqualTo("r1");
    }

    @Test
    void waitIsNeverNegative() {
        assertThat(queued.headAt(RECEIVED_NS + 60_000_000_000L).waitUs()).isZero();
    }

    @Test
    void costIncludesBodyAndEntry() {
        assertThat(queued.costBytes()).isEqualTo(100 + 1024);
    }
}
