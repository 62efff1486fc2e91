package cresschute.dispatch;

import static cresschute.dispatch.Rules.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a worker that is warming up may get. */
class SlowStartTest {

    private static final long NOW = 100 * SECOND;

    private static Rules rules(int dispatchers) {
        final List<RequestClass> classes =
                List.of(TestSettings.requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL));
        return new Rules(new TestSettings(classes).dispatchers(dispatchers).build());
    }

    private static WorkerInstance startedAt(Rules rules, long startedAtUs) {
        return rules.ready(RecordingActions.workerIn(WorkerState.READY, 1, startedAtUs));
    }

    @ParameterizedTest(name = "{0} s after the start: {1}")
    @CsvSource({"0, 0.2", "5, 0.4", "10, 0.6", "20, 1", "60, 1"})
    void raisesTheCapacityFractionEvenlyOverTheWarmUp(long ageS, double fraction) {
        final Rules rules = rules(1);
        final WorkerInstance worker = startedAt(rules, NOW);
        final long nowUs = NOW + ageS * SECOND;
        assertThat(rules.slowStart.capacityFraction(worker, nowUs))
                .isCloseTo(fraction, within(1e-9));
        assertThat(rules.slowStart.isWarmingUp(worker, nowUs)).isEqualTo(fraction < 1);
    }

    @Test
    void neverHoldsBackAWarmWorker() {
        final Rules rules = rules(1);
        final WorkerInstance worker = startedAt(rules, Worker.STARTED_LONG_AGO);
        rules.slowStart.workerAdded(worker, NOW);
        for (int id = 0; id < 100; id++) {
            final PendingRequest request = rules.request(id, NOW);
            assertThat(rules.slowStart.allows(worker, request, NOW)).isTrue();
            rules.slowStart.attemptSent(worker, request, NOW);
        }
    }

    @Test
    void holdsBackAJobLargerThanAllMaySendInAWindow() {
        final Rules rules = rules(1);
        final WorkerInstance worker = startedAt(rules, NOW);
        worker.startWarmUp(NOW);
        // 0.4 * 3 * 0.2 of one slot for 1 s is 0.24 s of work; a job is 0.4 s.
        assertThat(rules.slowStart.allows(worker, rules.request(1, NOW), NOW + SECOND)).isFalse();
    }

    @Test
    void beginsAtARandomPointOfAMeanJob() {
        final Rules rules = rules(4);
        final WorkerInstance worker = startedAt(rules, NOW);
        rules.slowStart.started(NOW);
        rules.slowStart.workerAdded(worker, NOW);
        assertThat(rules.slowStart.allows(worker, rules.request(1, NOW), NOW)).isFalse();
        rules.slowStart.refill(rules.workers.workers(), NOW + 10 * SECOND);
        assertThat(rules.slowStart.allows(worker, rules.request(1, NOW), NOW + 10 * SECOND))
                .isTrue();
    }

    @Test
    void sendsNoSecondJobInTheSameWindow() {
        final Rules rules = rules(4);
        final WorkerInstance worker = startedAt(rules, NOW);
        worker.startWarmUp(NOW);
        final PendingRequest request = rules.request(1, NOW);
        assertThat(rules.slowStart.allows(worker, request, NOW)).isTrue();
        rules.slowStart.attemptSent(worker, request, NOW);
        assertThat(rules.slowStart.allows(worker, rules.request(2, NOW), NOW + SECOND / 10))
                .isFalse();
    }
}
