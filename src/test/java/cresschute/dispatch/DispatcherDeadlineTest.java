package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestHosts.twoSafeWorkers;
import static cresschute.dispatch.TestSettings.requestClass;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks when a request counts as a late retry. */
class DispatcherDeadlineTest {

    @Test
    void rejectsRetryAfterItsLatencyObjective() {
        final RecordingHost host = twoSafeWorkers();
        host.request(1, 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        host.dispatcher.requestArrived(
                host.nowUs, 2, new Job(0, 0, 1, 0, 0, true), host.nowUs + 2 * SECOND);
        assertThat(host.sends).hasSize(1);
        assertThat(host.rejected).containsExactly(2);
    }

    /**
     * An answer is in time for 1 s. An unmarked request counts as a retry up to two Retry-After
     * times of 0.2 s later, that is, up to an age of 1.4 s.
     */
    @ParameterizedTest(name = "timeout shorter by {0} ms, marked as retry: {1}")
    @CsvSource({
        "0, false, 2",
        "900, false, 2",
        "1200, false, 1",
        "1500, false, 2",
        "4000, false, 2",
        "1200, true, 1",
        "4000, true, 1"
    })
    void distinguishesShortTimeoutFromRetry(long missingMs, boolean marked, int sends) {
        final RecordingHost host =
                new RecordingHost(
                                TestSettings.advisingRetries(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.SAFE,
                                                        DeduplicationScope.ALL))))
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.request(1, 0);
        host.dispatcher.requestArrived(
                host.nowUs,
                2,
                new Job(0, 0, 1, 0, 0, marked),
                host.nowUs + 5 * SECOND - missingMs * 1000);
        assertThat(host.sends).hasSize(sends);
    }

    @Test
    void ignoresStartReportThatArrivesWithEnd() {
        final RecordingHost host = twoSafeWorkers();
        host.request(1, 0);
        host.advanceTime(SECOND / 10);
        host.dispatcher.jobProgressed(host.nowUs, 1, 0, host.lastSend().worker(), 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        // The running time is 0.1 s. With a latency objective of 0.2 s and a stretch of 2, an
        // answer is in time for 0.4 s. This retry is 0.3 s old, so it is not rejected.
        host.dispatcher.requestArrived(
                host.nowUs, 2, new Job(0, 0, 1, 0, 0, true), host.nowUs + 4_700_000);
        assertThat(host.sends).hasSize(2);
    }
}
