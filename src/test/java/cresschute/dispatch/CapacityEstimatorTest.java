package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Checks how the budget follows the endings of attempts. */
class CapacityEstimatorTest {

    private static final double INTERVAL_US = 400_000;
    private static final CapacityEstimator.Conditions EVEN =
            new CapacityEstimator.Conditions(1, 1, 500_000, 100_000);

    private final CapacityEstimator capacity = new CapacityEstimator();

    private void adjust(double offered, CapacityEstimator.Evidence evidence, int endings) {
        capacity.clearOffered();
        capacity.addOffered(offered);
        for (int i = 0; i < endings; i++) {
            capacity.addEvidence(evidence, 1);
        }
        capacity.adjust(INTERVAL_US, EVEN);
    }

    @Test
    void isUnboundedBeforeFirstOverload() {
        adjust(100, CapacityEstimator.Evidence.IN_TIME, 1000);
        assertThat(capacity.budget()).isInfinite();
        assertThat(capacity.unallocated()).isInfinite();
    }

    @Test
    void decreasesFromOfferedWorkByAtMostAFifthDividedByMemory() {
        adjust(10, CapacityEstimator.Evidence.OVERLOAD, 1000);
        // Without finished jobs, endings are remembered 15 times as long, and the decrease is
        // divided by 15.
        assertThat(capacity.budget()).isCloseTo(10 * (1 - 0.2 / 15), within(1e-9));
    }

    @Test
    void toleratesTenthOfBadEndings() {
        for (int i = 0; i < 90; i++) {
            capacity.addEvidence(CapacityEstimator.Evidence.IN_TIME, 1);
        }
        adjust(10, CapacityEstimator.Evidence.OVERLOAD, 10);
        assertThat(capacity.budget()).isInfinite();
    }

    @Test
    void toleratesLessIfMarginalWorkHasLowWeight() {
        capacity.addOffered(10);
        for (int i = 0; i < 95; i++) {
            capacity.addEvidence(CapacityEstimator.Evidence.IN_TIME, 1);
        }
        for (int i = 0; i < 5; i++) {
            capacity.addEvidence(CapacityEstimator.Evidence.OVERLOAD, 1);
        }
        capacity.adjust(INTERVAL_US, new CapacityEstimator.Conditions(1, 0.1, 500_000, 100_000));
        assertThat(capacity.budget()).isFinite().isLessThan(10);
    }

    @Test
    void countsRejectionAsFullLessThanLateEnding() {
        adjust(10, CapacityEstimator.Evidence.REJECTED_AS_FULL, 100);
        assertThat(capacity.budget()).isInfinite();
    }

    @Test
    void increasesByATwentiethIfWorkExceedsBudgetAndNoEndingIsBad() {
        adjust(10, CapacityEstimator.Evidence.OVERLOAD, 100);
        for (int i = 0; i < 1000; i++) {
            adjust(0, CapacityEstimator.Evidence.IN_TIME, 1);
        }
        final double before = capacity.budget();
        adjust(before, CapacityEstimator.Evidence.IN_TIME, 1);
        assertThat(capacity.budget()).isEqualTo(before);
        adjust(before * 2, CapacityEstimator.Evidence.IN_TIME, 1);
        assertThat(capacity.budget()).isCloseTo(before * 1.05, within(1e-6));
    }

    @Test
    void doesNotDecreaseBelowFinishRateWithMostSlotsBusy() {
        for (int i = 0; i < 200; i++) {
            capacity.jobFinished(5 * INTERVAL_US);
            capacity.slotsReported(5, 5);
            adjust(10, CapacityEstimator.Evidence.OVERLOAD, 100);
        }
        // 5 slot-us of work finish per us, and 0.8 of them are kept busy.
        assertThat(capacity.budget()).isCloseTo(4, within(0.1));
    }

    @Test
    void resetsUnallocatedWorkAtEachAdjustment() {
        adjust(10, CapacityEstimator.Evidence.OVERLOAD, 100);
        capacity.allocate(3);
        assertThat(capacity.unallocated()).isCloseTo(capacity.budget() - 3, within(1e-9));
        adjust(0, CapacityEstimator.Evidence.IN_TIME, 0);
        assertThat(capacity.unallocated()).isEqualTo(capacity.budget());
    }
}
