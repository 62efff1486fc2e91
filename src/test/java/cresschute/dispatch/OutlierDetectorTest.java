package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks which workers are ejected, and for how long. */
class OutlierDetectorTest {

    private static final long NOW = 100 * SECOND;

    private PolicyFixture fixture;
    private OutlierDetector outliers;
    private WorkerInstance worker;

    @BeforeEach
    void createFixture() {
        fixture =
                new PolicyFixture(
                        TestSettings.hedging(
                                List.of(
                                        TestSettings.requestClass(
                                                1, Idempotency.SAFE, DeduplicationScope.ALL))));
        outliers = fixture.outliers;
        worker = fixture.ready(1, 0, 0);
    }

    private boolean isEjected(long nowUs) {
        return outliers.isEjected(worker, 0, nowUs);
    }

    private AttemptRecord attempt(WorkerInstance at, long nowUs) {
        return fixture.request(1, nowUs).startAttempt(at, nowUs);
    }

    @ParameterizedTest
    @EnumSource(names = {"ERROR", "TIMED_OUT", "BROKEN"})
    void ejectsAtThirdConsecutiveFailure(Outcome outcome) {
        outliers.recordOutcome(worker, outcome, NOW);
        outliers.recordOutcome(worker, outcome, NOW);
        assertThat(isEjected(NOW)).isFalse();
        outliers.recordOutcome(worker, outcome, NOW);
        assertThat(isEjected(NOW + SECOND / 2 - 1)).isTrue();
        assertThat(isEjected(NOW + SECOND / 2)).isFalse();
    }

    @ParameterizedTest(name = "{0} failed connections: {1} ms")
    @CsvSource({"1, 500", "2, 1000", "3, 2000", "4, 4000", "5, 8000", "6, 8000"})
    void doublesEjectionForEachFailedConnectionUpToFiveSteps(int failures, long ejectedMs) {
        for (int i = 0; i < failures; i++) {
            outliers.recordOutcome(worker, Outcome.CONNECT_FAILED, NOW);
        }
        assertThat(isEjected(NOW + ejectedMs * 1000 - 1)).isTrue();
        assertThat(isEjected(NOW + ejectedMs * 1000)).isFalse();
    }

    @Test
    void endsEjectionAtFirstServedAttempt() {
        outliers.recordOutcome(worker, Outcome.CONNECT_FAILED, NOW);
        outliers.recordOutcome(worker, Outcome.SERVED, NOW);
        assertThat(isEjected(NOW)).isFalse();
        outliers.recordOutcome(worker, Outcome.ERROR, NOW);
        outliers.recordOutcome(worker, Outcome.ERROR, NOW);
        assertThat(isEjected(NOW)).isFalse();
    }

    @Test
    void ejectsFullWorkerForOneMeanRunningTime() {
        outliers.recordOutcome(worker, Outcome.FULL, NOW);
        final long meanUs = (long) fixture.serviceTimes.meanRunningTimeUs();
        assertThat(meanUs).isEqualTo(400_000);
        assertThat(isEjected(NOW + meanUs - 1)).isTrue();
        assertThat(isEjected(NOW + meanUs)).isFalse();
    }

    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "NOT_SENT"})
    void doesNotCountAttemptsEndedByHost(Outcome outcome) {
        for (int i = 0; i < 10; i++) {
            outliers.recordOutcome(worker, outcome, NOW);
        }
        assertThat(isEjected(NOW)).isFalse();
    }

    @Test
    void ejectsUnresponsiveWorkerForOneClassOnly() {
        final RequestClass safe =
                TestSettings.requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL);
        final PolicyFixture twoClasses =
                new PolicyFixture(TestSettings.settings(List.of(safe, safe)));
        final WorkerInstance other = twoClasses.ready(1, 0, 0);
        twoClasses.outliers.ejectUnresponsive(other, 1, NOW);
        assertThat(twoClasses.outliers.isEjected(other, 1, NOW + 3 * SECOND - 1)).isTrue();
        assertThat(twoClasses.outliers.isEjected(other, 1, NOW + 3 * SECOND)).isFalse();
        assertThat(twoClasses.outliers.isEjected(other, 0, NOW)).isFalse();
        twoClasses.outliers.ejectUnresponsive(other, 99, NOW);
        assertThat(twoClasses.outliers.isEjected(other, 0, NOW)).isFalse();
    }

    @Test
    void detectsUnresponsiveWorkerOncePerAttempt() {
        final AttemptRecord attempt = attempt(worker, NOW);
        assertThat(outliers.detectUnresponsive(attempt, 1_600_000, NOW)).isFalse();
        assertThat(outliers.detectUnresponsive(attempt, 1_600_001, NOW)).isTrue();
        assertThat(outliers.detectUnresponsive(attempt, 9_000_000, NOW)).isFalse();
    }

    @Test
    void workerWithoutFreeSlotsIsNotUnresponsive() {
        worker.reserveSlots(1);
        assertThat(outliers.detectUnresponsive(attempt(worker, NOW), 9_000_000, NOW)).isFalse();
    }

    @Test
    void workerOfStartedJobIsNotUnresponsive() {
        final AttemptRecord attempt = attempt(worker, NOW);
        attempt.progressReported(NOW, 0);
        assertThat(outliers.detectUnresponsive(attempt, 9_000_000, NOW)).isFalse();
    }

    @Test
    void ejectsWorkerWithoutProgressOfAnyJob() {
        final AttemptRecord attempt = attempt(worker, NOW);
        assertThat(outliers.detectStalled(attempt, NOW + 1_800_000)).isFalse();
        assertThat(outliers.detectStalled(attempt, NOW + 1_800_001)).isTrue();
        assertThat(isEjected(NOW + 1_800_001 + 3 * SECOND - 1)).isTrue();
        worker.progressReported(NOW + 2 * SECOND);
        assertThat(isEjected(NOW + 2 * SECOND)).isFalse();
    }

    @Test
    void doesNotEjectWorkerThatReportsProgressOfOtherJobs() {
        final AttemptRecord attempt = attempt(worker, NOW);
        attempt.progressReported(NOW, 0);
        worker.progressReported(NOW + 2 * SECOND);
        assertThat(outliers.detectStalled(attempt, NOW + 2 * SECOND)).isTrue();
        assertThat(isEjected(NOW + 2 * SECOND)).isFalse();
    }
}
