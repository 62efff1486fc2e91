package cresschute.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A peer is too slow by its rate or by a stall; only time in which it is active counts. */
class TransferMonitorTest {

    private static final long S = 1_000_000;
    private final TransferMonitor monitor = new TransferMonitor(1_000, 10 * S, 0);

    /** One byte per second is not a stall, but below the minimum rate. */
    @ParameterizedTest
    @CsvSource({"1, 10", "999, 10", "1000, -1", "5000, -1"})
    void rateBelowTheMinimumIsTooSlow(long bytesEachSecond, int tooSlowAtS) {
        monitor.setActive(true, 0);
        int tooSlowSince = -1;
        for (int s = 1; s <= 60 && tooSlowSince < 0; s++) {
            monitor.transferred(bytesEachSecond, s * S);
            tooSlowSince = monitor.isTooSlow(s * S) ? s : -1;
        }
        assertThat(tooSlowSince).isEqualTo(tooSlowAtS);
    }

    /** A stall counts even if many bytes were transferred before it. */
    @Test
    void stallIsTooSlow() {
        monitor.setActive(true, 0);
        monitor.transferred(1_000_000, S);
        assertThat(monitor.isTooSlow(11 * S)).isFalse();
        assertThat(monitor.isTooSlow(11 * S + 1)).isTrue();
    }

    /** Time in which the peer waits for others does not count. */
    @Test
    void inactiveTimeDoesNotCount() {
        monitor.setActive(true, 0);
        monitor.setActive(false, 9 * S);
        assertThat(monitor.isTooSlow(500 * S)).isFalse();
        monitor.setActive(true, 500 * S);
        assertThat(monitor.isTooSlow(500 * S + S / 2)).isFalse();
        assertThat(monitor.isTooSlow(502 * S)).isTrue();
    }
}
