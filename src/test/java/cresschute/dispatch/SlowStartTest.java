package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how much work a worker that is warming up may get. */
class SlowStartTest {

    private static final long NOW = 100 * SECOND;

    private static PolicyFixture fixture(int dispatchers) {
        final List<RequestClass> classes =
                List.of(TestSettings.requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL));
        return new PolicyFixture(new TestSettings(classes).dispatchers(dispatchers).build());
    }

    private static WorkerInstance startedAt(PolicyFixture fixture, long startedAtUs) {
        return fixture.ready(RecordingHost.workerIn(WorkerState.READY, 1, startedAtUs));
    }

    @ParameterizedTest(name = "{0} s after the start: {1}")
    @CsvSource({"0, 0.2", "5, 0.4", "10, 0.6", "20, 1", "60, 1"})
    void raisesCapacityFractionLinearlyOverWarmUp(long ageS, double fraction) {
        final PolicyFixture fixture = fixture(1);
        final WorkerInstance worker = startedAt(fixture, NOW);
        final long nowUs = NOW + ageS * SECOND;
        assertThat(fixture.slowStart.capacityFraction(worker, nowUs))
                .isCloseTo(fraction, within(1e-9));
        assertThat(fixture.slowStart.isWarmingUp(worker, nowUs)).isEqualTo(fraction < 1);
    }

    @Test
    void neverWithholdsJobsFromWarmWorker() {
        final PolicyFixture fixture = fixture(1);
        final WorkerInstance worker = startedAt(fixture, Worker.STARTED_LONG_AGO);
        fixture.slowStart.workerAdded(worker, NOW);
        for (int id = 0; id < 100; id++) {
            final PendingRequest request = fixture.request(id, NOW);
            assertThat(fixture.slowStart.allows(worker, request, NOW)).isTrue();
            fixture.slowStart.attemptSent(worker, request, NOW);
        }
    }

    @Test
    void withholdsJobLargerThanAllDispatchersMaySendInWindow() {
        final PolicyFixture fixture = fixture(1);
        final WorkerInstance worker = startedAt(fixture, NOW);
        worker.startWarmUp(NOW);
        // 0.4 * 3 * 0.2 of one slot for 1 s is 0.24 s of work; a job is 0.4 s.
        assertThat(fixture.slowStart.allows(worker, fixture.request(1, NOW), NOW + SECOND))
                .isFalse();
    }

    @Test
    void startsWithRandomTokenDebtOfUpToOneMeanJob() {
        final PolicyFixture fixture = fixture(4);
        final WorkerInstance worker = startedAt(fixture, NOW);
        fixture.slowStart.started(NOW);
        fixture.slowStart.workerAdded(worker, NOW);
        assertThat(fixture.slowStart.allows(worker, fixture.request(1, NOW), NOW)).isFalse();
        fixture.slowStart.refill(fixture.workers.workers(), NOW + 10 * SECOND);
        assertThat(fixture.slowStart.allows(worker, fixture.request(1, NOW), NOW + 10 * SECOND))
                .isTrue();
    }

    @Test
    void sendsNoSecondJobInSameWindow() {
        final PolicyFixture fixture = fixture(4);
        final WorkerInstance worker = startedAt(fixture, NOW);
        worker.startWarmUp(NOW);
        final PendingRequest request = fixture.request(1, NOW);
        assertThat(fixture.slowStart.allows(worker, request, NOW)).isTrue();
        fixture.slowStart.attemptSent(worker, request, NOW);
        assertThat(fixture.slowStart.allows(worker, fixture.request(2, NOW), NOW + SECOND / 10))
                .isFalse();
    }
}
