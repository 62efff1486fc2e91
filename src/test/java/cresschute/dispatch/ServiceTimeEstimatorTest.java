package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Checks how running times are learned. */
class ServiceTimeEstimatorTest {

    private static final long NOW = 100 * SECOND;
    private static final long INITIAL_US = 400_000;

    private final PolicyFixture fixture = PolicyFixture.ofSafeClass();
    private final WorkerInstance worker = fixture.ready(1, 0, 0);

    @Test
    void startsWithTwiceTheLatencyObjective() {
        assertThat(fixture.serviceTimes.meanRunningTimeUs()).isEqualTo(INITIAL_US);
        assertThat(fixture.request(1, NOW).runningTimeUs()).isEqualTo(INITIAL_US);
    }

    @Test
    void learnsRunningTimeFromStartReport() {
        final PendingRequest request = fixture.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(worker, NOW);
        attempt.progressReported(NOW + SECOND, 0.5);
        fixture.serviceTimes.attemptServed(
                request, attempt, NOW + SECOND + 100_000, SECOND + 100_000, 1);
        assertThat(request.classState().runningTimeUs()).isEqualTo(200_000);
        assertThat(fixture.serviceTimes.meanRunningTimeUs())
                .isCloseTo(INITIAL_US + 0.03 * (200_000 - INITIAL_US), within(1e-6));
    }

    @Test
    void doesNotLearnClassFromJobsWithHint() {
        final Job hinted = new Job(0, 0, 1, 50_000, Job.NO_DATA, false);
        final PendingRequest request = fixture.request(1, NOW, NOW + 5 * SECOND, hinted);
        final AttemptRecord attempt = request.startAttempt(worker, NOW);
        attempt.progressReported(NOW, 0);
        fixture.serviceTimes.attemptServed(request, attempt, NOW + SECOND, SECOND, 1);
        assertThat(request.classState().runningTimeUs()).isEqualTo(INITIAL_US);
        assertThat(request.runningTimeUs()).isEqualTo(50_000);
    }

    @Test
    void reducesWeightOfDurationThatMayIncludeWaiting() {
        final ClassState classState = fixture.request(0, NOW).classState();
        for (int i = 0; i < 1000; i++) {
            classState.learnRunningTime(100_000, 0.03);
        }
        final double before = classState.runningTimeUs();
        final PendingRequest request = fixture.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(worker, NOW);
        fixture.serviceTimes.attemptServed(request, attempt, NOW + SECOND, SECOND, 1);
        assertThat(classState.runningTimeUs())
                .isCloseTo(before + 0.03 * 0.2 * (SECOND - before), within(1e-3));
    }

    @Test
    void ignoresStartReportAtTimeOfEnd() {
        final PendingRequest request = fixture.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(worker, NOW);
        attempt.progressReported(NOW + 300_000, 0);
        fixture.serviceTimes.attemptServed(request, attempt, NOW + 300_000, 300_000, 1);
        assertThat(request.classState().runningTimeUs()).isEqualTo(300_000);
        assertThat(worker.slowdown()).isEqualTo(1);
    }

    @Test
    void learnsSlowdownOfWorkerWithinBounds() {
        final PendingRequest request = fixture.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(worker, NOW);
        fixture.serviceTimes.attemptLate(attempt);
        // The kind takes its first sample in full, and the worker 15 % of it.
        assertThat(worker.slowdown()).isCloseTo(3 * 1.3, within(1e-9));
    }

    @Test
    void countsTimeBeforeStartAsWaiting() {
        final PendingRequest request = fixture.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(worker, NOW);
        assertThat(fixture.serviceTimes.waitAtWorkerUs(request, attempt, NOW + SECOND))
                .isEqualTo(SECOND);
        attempt.progressReported(NOW + SECOND, 0.25);
        assertThat(fixture.serviceTimes.waitAtWorkerUs(request, attempt, NOW + 2 * SECOND))
                .isEqualTo(SECOND - 0.25 * INITIAL_US);
    }
}
