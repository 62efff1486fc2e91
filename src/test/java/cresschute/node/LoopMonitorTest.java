package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The lag that {@link LoopMonitor} measures, on a clock of the test. */
class LoopMonitorTest {

    private final AtomicLong nowNs = new AtomicLong(TimeUnit.SECONDS.toNanos(7));
    private final LoopMonitor monitor = new LoopMonitor(nowNs::get);

    private void pass(long ms) {
        nowNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Guards against a start that waits for discovery and is reported as a loop held up. */
    @Test
    void countsFromBeginning() {
        pass(2_000);
        monitor.begin();
        pass(LoopMonitor.TICK_MS);
        monitor.tick();
        assertThat(monitor.takeMaxLagMs()).isZero();
    }

    /** Guards against a lag that is missed, or reported again with the next status. */
    @Test
    void reportsLargestLagOnce() {
        monitor.begin();
        pass(LoopMonitor.TICK_MS + 40);
        monitor.tick();
        pass(LoopMonitor.TICK_MS + 15);
        monitor.tick();
        assertThat(monitor.takeMaxLagMs()).isEqualTo(40);
        assertThat(monitor.takeMaxLagMs()).isZero();
    }
}
