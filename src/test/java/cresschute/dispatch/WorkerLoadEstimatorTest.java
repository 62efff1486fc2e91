package cresschute.dispatch;

import static cresschute.dispatch.Rules.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** How many slots of a worker count as in use. */
class WorkerLoadEstimatorTest {

    private static final long NOW = 100 * SECOND;

    private final Rules rules = Rules.ofSafeClass();
    private final WorkerInstance worker = rules.ready(1, 0, 0);

    @Test
    void countsOwnAttemptsExactly() {
        worker.reserveSlots(3);
        assertThat(rules.loads.slotsInUse(worker, NOW)).isEqualTo(3);
        worker.releaseSlots(2);
        assertThat(rules.loads.slotsInUse(worker, NOW)).isEqualTo(1);
    }

    @Test
    void fadesAReportToTheUsualLoadOfTheKind() {
        rules.loads.reported(worker, new LoadReport(4, -1, 0), NOW);
        rules.loads.reported(worker, new LoadReport(0, -1, 0), NOW);
        final double usual = worker.kind().usualOtherSlots();
        assertThat(rules.loads.slotsInUse(worker, NOW)).isCloseTo(4, within(1e-9));
        final double meanUs = rules.serviceTimes.meanRunningTimeUs();
        assertThat(rules.loads.slotsInUse(worker, NOW + (long) meanUs))
                .isCloseTo(usual + (4 - usual) / Math.E, within(1e-9));
        assertThat(rules.loads.slotsInUse(worker, NOW + 100 * SECOND))
                .isCloseTo(usual, within(1e-9));
    }

    @Test
    void takesNoMissingReportForAnIdleWorker() {
        rules.loads.reported(worker, new LoadReport(0, 5, -1), NOW);
        final double before = rules.loads.slotsInUse(worker, NOW);
        rules.loads.reported(worker, LoadReport.NONE, NOW);
        assertThat(before).isCloseTo(5, within(1e-9));
        assertThat(rules.loads.slotsInUse(worker, NOW)).isEqualTo(before);
    }

    @Test
    void countsWaitingJobsBesideBusySlots() {
        rules.loads.reported(worker, new LoadReport(4, -1, 0), NOW);
        rules.loads.reported(worker, new LoadReport(0, -1, 6), NOW);
        assertThat(rules.loads.slotsInUse(worker, NOW)).isCloseTo(10, within(1e-9));
    }

    @Test
    void countsAllSlotsOfAFullWorkerAsOthers() {
        rules.loads.reported(worker, new LoadReport(4, -1, 0), NOW);
        rules.loads.rejectedAsFull(worker, NOW);
        assertThat(rules.loads.hasFreeSlot(worker, NOW)).isFalse();
        assertThat(rules.loads.hasFreeSlots(worker, 1, NOW)).isFalse();
    }

    @Test
    void usesListedWeightsOnlyWhereTheyAreLive() {
        rules.loads.weightListed(worker, 1, NOW);
        rules.loads.weightListed(worker, 0.5, NOW);
        assertThat(rules.loads.slotsInUse(worker, NOW)).isZero();
    }
}
