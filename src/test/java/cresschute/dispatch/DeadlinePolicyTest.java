package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks when a request is given up, and with which answer. */
class DeadlinePolicyTest {

    private static final long NOW = 100 * SECOND;

    /** An answer is in time within 0.2 s plus twice the running time of 0.4 s. */
    private static final long IN_TIME_US = SECOND;

    private static PolicyFixture withObjective(long latencyObjectiveUs) {
        return new PolicyFixture(
                TestSettings.settings(
                        List.of(
                                new RequestClass(
                                        1,
                                        latencyObjectiveUs,
                                        2,
                                        5 * SECOND,
                                        Idempotency.SAFE,
                                        DeduplicationScope.ALL,
                                        0,
                                        Placement.ANYWHERE))));
    }

    @ParameterizedTest(name = "objective {0} us: every {1} us")
    @CsvSource({"1000, 5000", "20000, 10000", "99000, 49500", "2000000, 50000"})
    void checksAtHalfOfTightestObjectiveWithinBounds(long objectiveUs, long intervalUs) {
        assertThat(withObjective(objectiveUs).deadlines.checkIntervalUs()).isEqualTo(intervalUs);
    }

    @Test
    void allowsNoAttemptOnceAnswerIsLate() {
        final PolicyFixture fixture = PolicyFixture.ofSafeClass();
        final PendingRequest request = fixture.request(1, NOW);
        assertThat(fixture.deadlines.isTooLateForAttempt(request, NOW + IN_TIME_US - 1)).isFalse();
        assertThat(fixture.deadlines.isTooLateForAttempt(request, NOW + IN_TIME_US)).isTrue();
        assertThat(fixture.deadlines.isTooOld(request, NOW + IN_TIME_US)).isFalse();
        assertThat(fixture.deadlines.isTooOld(request, NOW + IN_TIME_US + 1)).isTrue();
    }

    @Test
    void allowsNoAttemptWithinTwoCheckIntervalsOfDeadline() {
        final PolicyFixture fixture = PolicyFixture.ofSafeClass();
        final PendingRequest request = fixture.request(1, NOW, NOW + SECOND / 2);
        assertThat(fixture.deadlines.isTooLateForAttempt(request, NOW + SECOND / 2 - 100_001))
                .isFalse();
        assertThat(fixture.deadlines.isTooLateForAttempt(request, NOW + SECOND / 2 - 100_000))
                .isTrue();
    }

    @Test
    void detectsDeadlineBeforeAnswerIsLate() {
        final PolicyFixture fixture = PolicyFixture.ofSafeClass();
        final DeadlinePolicy deadlines = fixture.deadlines;
        assertThat(deadlines.hasShortDeadline(fixture.request(1, NOW, NOW + IN_TIME_US - 1)))
                .isTrue();
        assertThat(deadlines.hasShortDeadline(fixture.request(1, NOW, NOW + IN_TIME_US))).isFalse();
    }

    @ParameterizedTest(name = "{0} {1}, may have run: {2}")
    @CsvSource({
        "SAFE, ALL, false, REJECTED",
        "SAFE, ALL, true, REJECTED",
        "KEYED, ALL, false, REJECTED",
        "KEYED, ALL, true, REJECTED",
        "KEYED, CELL, true, FAILED",
        "UNSAFE, ALL, false, REJECTED",
        "UNSAFE, ALL, true, FAILED"
    })
    void rejectsOnlyIfRetryDoesNoHarm(
            Idempotency idempotency,
            DeduplicationScope scope,
            boolean mayHaveRun,
            DeadlinePolicy.FinalReply reply) {
        final PolicyFixture fixture = PolicyFixture.of(idempotency, scope);
        final PendingRequest request = fixture.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(fixture.ready(1, 0, 0), NOW);
        if (mayHaveRun) {
            fixture.retries.markMayHaveRun(request, attempt);
        }
        assertThat(fixture.deadlines.replyTo(request, NOW)).isEqualTo(reply);
    }

    @Test
    void failsKeyedRequestAfterDeduplicationWindow() {
        final PolicyFixture fixture = PolicyFixture.of(Idempotency.KEYED, DeduplicationScope.ALL);
        final PendingRequest request = fixture.request(1, NOW);
        fixture.retries.markMayHaveRun(request, request.startAttempt(fixture.ready(1, 0, 0), NOW));
        assertThat(fixture.deadlines.replyTo(request, NOW + 3 * SECOND - 1))
                .isEqualTo(DeadlinePolicy.FinalReply.REJECTED);
        assertThat(fixture.deadlines.replyTo(request, NOW + 3 * SECOND))
                .isEqualTo(DeadlinePolicy.FinalReply.FAILED);
    }

    @ParameterizedTest(name = "timeout shorter by {0} ms, marked as retry: {1}")
    @CsvSource({
        "0, false, true",
        "1000, false, true",
        "1001, false, false",
        "1001, true, true",
        "4000, true, true"
    })
    void estimatesFirstSendOfRetryFromItsShorterTimeout(
            long missingMs, boolean marked, boolean isRetry) {
        final PolicyFixture fixture = PolicyFixture.ofSafeClass();
        final ClassState classState = fixture.request(1, NOW).classState();
        classState.learnTimeout(5 * SECOND);
        final Job job = new Job(0, 0, 1, Job.NO_HINT, Job.NO_DATA, marked);
        final long deadlineUs = NOW + 5 * SECOND - missingMs * 1000;
        assertThat(fixture.deadlines.firstSentUs(classState, job, deadlineUs, NOW))
                .isEqualTo(isRetry ? NOW - missingMs * 1000 : NOW);
    }
}
