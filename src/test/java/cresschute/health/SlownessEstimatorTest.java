package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Tests the estimate of how many times as long as on other workers jobs run. */
class SlownessEstimatorTest {

    private final SlownessEstimator slowness = new SlownessEstimator();

    private void add(int jobs, long runTimeUs) {
        for (int i = 0; i < jobs; i++) {
            slowness.add(runTimeUs, 100);
        }
    }

    @Test
    void needsFiveJobs() {
        add(4, 1_000);
        assertThat(slowness.isAtLeast(1.1)).isFalse();
        add(1, 1_000);
        assertThat(slowness.isAtLeast(9.9)).isTrue();
        assertThat(slowness.factor()).isCloseTo(10, within(1e-9));
    }

    @Test
    void firstJobsHaveEqualWeights() {
        add(1, 400);
        add(1, 25);
        assertThat(slowness.factor()).isCloseTo(1, within(1e-9));
    }

    @Test
    void laterJobsHaveAWeightOfOneFifth() {
        add(5, 100);
        add(1, 3_200);
        assertThat(slowness.factor()).isCloseTo(2, within(1e-9));
    }

    @Test
    void resetForgetsAllJobs() {
        add(5, 1_000);
        slowness.reset();
        assertThat(slowness.isAtLeast(0)).isFalse();
        assertThat(slowness.factor()).isEqualTo(1);
    }
}
