package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks which outcomes count as overload and which count against the worker. */
class AttemptFeedbackTest {

    private static final long NOW = 100 * SECOND;

    private final PolicyFixture fixture = PolicyFixture.ofSafeClass();
    private final WorkerInstance worker = fixture.ready(1, 0, 0);
    private final CapacityEstimator capacity = fixture.workers.capacities().get(0);

    /** Returns whether the budget is finite, that is, decreased, after 100 attempts. */
    private boolean isOverload(Outcome outcome, long timeoutUs, boolean requestClosed) {
        for (int id = 0; id < 100; id++) {
            final PendingRequest request = fixture.request(id, NOW, NOW + timeoutUs);
            final AttemptRecord attempt = request.startAttempt(worker, NOW);
            fixture.feedback.addEvidence(request, attempt, outcome, requestClosed);
        }
        return adjusted();
    }

    private boolean adjusted() {
        capacity.addOffered(10);
        capacity.adjust(400_000, new CapacityEstimator.Conditions(1, 1, 500_000, 400_000));
        return Double.isFinite(capacity.budget());
    }

    @ParameterizedTest
    @CsvSource({
        "SERVED, false",
        "ERROR, false",
        "BROKEN, false",
        "CANCELLED, false",
        "NOT_SENT, false",
        "UNUSABLE, false",
        "FULL, false",
        "TIMED_OUT, true",
        "CONNECT_FAILED, true"
    })
    void countsTimeoutsAndFailedConnectionsAsOverload(Outcome outcome, boolean overload) {
        assertThat(isOverload(outcome, 5 * SECOND, false)).isEqualTo(overload);
    }

    @Test
    void doesNotCountTimeoutOfShortDeadlineAsOverload() {
        assertThat(isOverload(Outcome.TIMED_OUT, SECOND / 2, false)).isFalse();
    }

    @Test
    void doesNotCountTimeoutOfClosedRequestAsOverload() {
        assertThat(isOverload(Outcome.TIMED_OUT, 5 * SECOND, true)).isFalse();
    }

    @Test
    void countsLateAttemptBeforeItsEnd() {
        for (int id = 0; id < 100; id++) {
            final PendingRequest request = fixture.request(id, NOW);
            fixture.feedback.recordLateAttempt(request, request.startAttempt(worker, NOW), NOW);
        }
        assertThat(adjusted()).isTrue();
    }

    @Test
    void doesNotCountLateAttemptAgainAtItsEnd() {
        for (int id = 0; id < 100; id++) {
            final PendingRequest request = fixture.request(id, NOW);
            final AttemptRecord attempt = request.startAttempt(worker, NOW);
            attempt.markLate();
            fixture.feedback.addEvidence(request, attempt, Outcome.TIMED_OUT, false);
        }
        assertThat(adjusted()).isFalse();
    }

    @Test
    void doesNotCountLateAttemptAtStalledWorkerAsOverload() {
        worker.stalledUntil(NOW + SECOND);
        for (int id = 0; id < 100; id++) {
            final PendingRequest request = fixture.request(id, NOW);
            fixture.feedback.recordLateAttempt(request, request.startAttempt(worker, NOW), NOW);
        }
        assertThat(adjusted()).isFalse();
    }

    @ParameterizedTest
    @EnumSource(names = {"UNUSABLE", "TIMED_OUT"})
    void doesNotCountUnservableRequestAgainstWorker(Outcome outcome) {
        for (int id = 0; id < 10; id++) {
            final PendingRequest request = fixture.request(id, NOW, NOW + SECOND / 2);
            fixture.feedback.recordLoadAndOutcome(worker, request, outcome, LoadReport.NONE, NOW);
        }
        assertThat(fixture.outliers.isEjected(worker, 0, NOW)).isFalse();
    }
}
