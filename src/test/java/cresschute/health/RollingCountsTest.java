package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests counts over a sliding window. */
class RollingCountsTest {

    private static final long SLICE_US = 10;
    private final RollingCounts counts = new RollingCounts(SLICE_US, 3);

    @Test
    void sumsTheSlicesOfTheWindow() {
        counts.add(100, 1);
        counts.add(109, 2);
        counts.add(110, 4);
        counts.add(129, 8);
        assertThat(counts.sum(129)).isEqualTo(15);
        assertThat(counts.perSlice(129)).containsExactly(3, 4, 8);
    }

    @Test
    void slicesLeaveTheWindowOneByOne() {
        counts.add(100, 1);
        counts.add(110, 2);
        assertThat(counts.sum(129)).isEqualTo(3);
        assertThat(counts.sum(130)).isEqualTo(2);
        assertThat(counts.perSlice(130)).containsExactly(2, 0, 0);
        assertThat(counts.sum(140)).isZero();
    }

    @Test
    void longPauseClearsTheWindow() {
        counts.add(100, 1);
        assertThat(counts.sum(100_000)).isZero();
        counts.add(100_001, 5);
        assertThat(counts.perSlice(100_001)).containsExactly(0, 0, 5);
    }
}
