package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Checks how many slots of a worker count as in use. */
class WorkerLoadEstimatorTest {

    private static final long NOW = 100 * SECOND;

    private final PolicyFixture fixture = PolicyFixture.ofSafeClass();
    private final WorkerInstance worker = fixture.ready(1, 0, 0);

    @Test
    void countsOwnAttemptsExactly() {
        worker.reserveSlots(3);
        assertThat(fixture.loads.slotsInUse(worker, NOW)).isEqualTo(3);
        worker.releaseSlots(2);
        assertThat(fixture.loads.slotsInUse(worker, NOW)).isEqualTo(1);
    }

    @Test
    void decaysReportToUsualLoadOfKind() {
        fixture.loads.loadReported(worker, new LoadReport(4, -1, 0), NOW);
        fixture.loads.loadReported(worker, new LoadReport(0, -1, 0), NOW);
        final double usual = worker.kind().usualOtherSlots();
        assertThat(fixture.loads.slotsInUse(worker, NOW)).isCloseTo(4, within(1e-9));
        final double meanUs = fixture.serviceTimes.meanRunningTimeUs();
        assertThat(fixture.loads.slotsInUse(worker, NOW + (long) meanUs))
                .isCloseTo(usual + (4 - usual) / Math.E, within(1e-9));
        assertThat(fixture.loads.slotsInUse(worker, NOW + 100 * SECOND))
                .isCloseTo(usual, within(1e-9));
    }

    @Test
    void missingReportDoesNotMeanIdleWorker() {
        fixture.loads.loadReported(worker, new LoadReport(0, 5, -1), NOW);
        final double before = fixture.loads.slotsInUse(worker, NOW);
        fixture.loads.loadReported(worker, LoadReport.NONE, NOW);
        assertThat(before).isCloseTo(5, within(1e-9));
        assertThat(fixture.loads.slotsInUse(worker, NOW)).isEqualTo(before);
    }

    @Test
    void countsWaitingJobsInAdditionToBusySlots() {
        fixture.loads.loadReported(worker, new LoadReport(4, -1, 0), NOW);
        fixture.loads.loadReported(worker, new LoadReport(0, -1, 6), NOW);
        assertThat(fixture.loads.slotsInUse(worker, NOW)).isCloseTo(10, within(1e-9));
    }

    @Test
    void countsAllSlotsOfFullWorkerAsUsedByOthers() {
        fixture.loads.loadReported(worker, new LoadReport(4, -1, 0), NOW);
        fixture.loads.rejectedAsFull(worker, NOW);
        assertThat(fixture.loads.hasFreeSlot(worker, NOW)).isFalse();
        assertThat(fixture.loads.hasFreeSlots(worker, 1, NOW)).isFalse();
    }

    @Test
    void usesListedWeightsOnlyIfTheyAreLive() {
        fixture.loads.weightListed(worker, 1, NOW);
        fixture.loads.weightListed(worker, 0.5, NOW);
        assertThat(fixture.loads.slotsInUse(worker, NOW)).isZero();
    }
}
