package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when an assessment takes effect. */
class ConditionTrackerTest {

    private static final long MS = 1_000;
    private static final HealthThresholds THRESHOLDS = HealthThresholds.defaults(0, 0);
    private final ConditionTracker tracker = new ConditionTracker();

    private void assess(long nowUs, WorkerCondition condition) {
        tracker.update(nowUs, new Assessment(condition, condition + " at " + nowUs), THRESHOLDS);
    }

    @Test
    void firstAssessmentTakesEffectAtOnce() {
        assertThat(tracker.condition()).isEmpty();
        assess(5, WorkerCondition.SLOW);
        assertThat(tracker.condition()).contains(WorkerCondition.SLOW);
        assertThat(tracker.sinceUs()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource({
        "HEALTHY, OVERLOADED, 2000",
        "HEALTHY, SLOW, 500",
        "SLOW, UNRESPONSIVE, 500",
        "SLOW, HEALTHY, 2000",
        "UNRESPONSIVE, OVERLOADED, 2000",
        "HEALTHY, DRAINING, 0",
        "HEALTHY, REMOVED, 0",
        "DRAINING, HEALTHY, 0",
        "REMOVED, WARMING_UP, 0"
    })
    void changeTakesEffectAfterItsDelay(WorkerCondition from, WorkerCondition to, long delayMs) {
        assess(0, from);
        assess(MS, to);
        for (long ms = 1; ms < delayMs; ms++) {
            assess(MS + ms * MS, to);
            assertThat(tracker.is(from)).as(ms + " ms").isTrue();
        }
        assess(MS + delayMs * MS, to);
        assertThat(tracker.is(to)).isTrue();
        assertThat(tracker.sinceUs()).isEqualTo(MS + delayMs * MS);
    }

    @Test
    void interruptionRestartsTheDelay() {
        assess(0, WorkerCondition.HEALTHY);
        assess(100 * MS, WorkerCondition.SLOW);
        assess(500 * MS, WorkerCondition.HEALTHY);
        assess(600 * MS, WorkerCondition.SLOW);
        assess(1_099 * MS, WorkerCondition.SLOW);
        assertThat(tracker.is(WorkerCondition.HEALTHY)).isTrue();
        assess(1_100 * MS, WorkerCondition.SLOW);
        assertThat(tracker.is(WorkerCondition.SLOW)).isTrue();
    }

    @Test
    void reasonIsThatOfTheConditionInForce() {
        assess(0, WorkerCondition.HEALTHY);
        assess(MS, WorkerCondition.SLOW);
        assertThat(tracker.reason()).isEqualTo("HEALTHY at 0");
        assess(2 * MS, WorkerCondition.HEALTHY);
        assertThat(tracker.reason()).isEqualTo("HEALTHY at 2000");
        assertThat(tracker.sinceUs()).isZero();
    }
}
