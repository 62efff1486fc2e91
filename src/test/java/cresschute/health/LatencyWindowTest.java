package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.HdrHistogram.IntCountsHistogram;
import org.junit.jupiter.api.Test;

/** Tests percentiles over a sliding window. */
class LatencyWindowTest {

    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;
    private final LatencyWindow window = new LatencyWindow(10 * S, 3);
    private final IntCountsHistogram scratch = new IntCountsHistogram(1);

    private LatencyPercentiles at(long nowUs) {
        return window.percentiles(nowUs, scratch);
    }

    @Test
    void emptyWindowHasNoPercentiles() {
        assertThat(at(0)).isEqualTo(LatencyPercentiles.NONE);
        window.add(0, 5 * MS);
        assertThat(at(30 * S)).isEqualTo(LatencyPercentiles.NONE);
    }

    @Test
    void percentilesAreAccurateWithinASixteenth() {
        for (int i = 1; i <= 100; i++) {
            window.add(S, 10L * i * MS);
        }
        assertThat(at(29 * S).p50Ms()).isBetween(500L, 532L);
        assertThat(at(29 * S).p99Ms()).isBetween(990L, 1_052L);
    }

    @Test
    void sliceIsResetWhenItIsReused() {
        window.add(0, 100 * MS);
        window.add(30 * S, 7 * MS);
        assertThat(at(30 * S)).isEqualTo(new LatencyPercentiles(7, 7));
    }

    @Test
    void clampsValuesToZeroAndOneHour() {
        window.add(0, -1);
        assertThat(at(0).p50Ms()).isZero();
        final LatencyWindow longRuns = new LatencyWindow(10 * S, 3);
        longRuns.add(0, 100 * 3_600 * S);
        longRuns.addTo(scratch, 0);
        assertThat(scratch.getMaxValue()).isBetween(3_600_000L, 3_900_000L);
    }
}
