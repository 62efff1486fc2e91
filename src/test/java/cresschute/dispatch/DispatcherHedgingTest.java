package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestHosts.hostWithRunningJob;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks when a request is hedged: sent to a second worker while its attempt is in flight. */
class DispatcherHedgingTest {

    /** Also checks that the stalled worker gets no new jobs. */
    @ParameterizedTest
    @EnumSource
    void hedgesJobWithoutProgressReportsIfClassAllows(Idempotency idempotency) {
        final RecordingHost host = hostWithRunningJob(idempotency);
        final int first = host.lastSend().worker();
        host.advanceTime(SECOND * 3 / 2);
        assertThat(host.sends).hasSize(1);
        host.advanceTime(SECOND);
        assertThat(host.sends).hasSize(idempotency == Idempotency.UNSAFE ? 1 : 2);
        if (idempotency == Idempotency.KEYED) {
            assertThat((host.lastSend().worker() - 1) / 2).isEqualTo((first - 1) / 2);
        }
        host.sends.clear();
        for (int id = 2; id < 20; id++) {
            host.request(id, 0);
        }
        assertThat(host.sends)
                .hasSize(18)
                .extracting(RecordingHost.Send::worker)
                .doesNotContain(first);
    }

    @ParameterizedTest(name = "{0}, start reported: {1}")
    @CsvSource({"SAFE, false, 2", "SAFE, true, 1", "KEYED, false, 2", "UNSAFE, false, 1"})
    void hedgesJobNotStartedAfterHalfItsSlack(Idempotency idempotency, boolean started, int sends) {
        final RequestClass hedgeableClass =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        idempotency,
                        DeduplicationScope.CELL,
                        SECOND * 4,
                        Placement.ANYWHERE);
        final RecordingHost host =
                new RecordingHost(TestSettings.hedging(List.of(hedgeableClass)))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 1),
                                worker(4, 0, 1));
        host.request(1, 0);
        final int first = host.lastSend().worker();
        if (started) {
            host.dispatcher.jobProgressed(host.nowUs, 1, 0, first, 0);
        }
        // The job may wait 3 s: the objective of 1 s, and the 2 s by which the stretch exceeds its
        // running time. The hedge is due after half of that.
        host.advanceTime(SECOND * 14 / 10);
        assertThat(host.sends).hasSize(1);
        host.advanceTime(SECOND * 2 / 10);
        assertThat(host.sends).hasSize(sends);
        if (sends == 2) {
            assertThat(host.lastSend().worker()).isNotEqualTo(first);
        }
        if (sends == 2 && idempotency == Idempotency.KEYED) {
            assertThat((host.lastSend().worker() - 1) / 2).isEqualTo((first - 1) / 2);
        }
    }

    /**
     * A report from before the hedge was due must not be used, because it does not show the free
     * slots now.
     */
    @ParameterizedTest(name = "{0} free slots")
    @CsvSource({"0, 1", "3, 2"})
    void hedgesOnlyAtWorkerThatReportsFreeSlots(int free, int sends) {
        final RequestClass hedgeableClass =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        Idempotency.SAFE,
                        DeduplicationScope.ALL,
                        0,
                        Placement.ANYWHERE);
        final RecordingHost host =
                new RecordingHost(TestSettings.hedgingWithLoadQueries(List.of(hedgeableClass)))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 0));
        host.request(1, 0);
        for (int worker = 1; worker <= 3; worker++) {
            host.dispatcher.loadReported(
                    host.nowUs, worker, Outcome.SERVED, new LoadReport(4, -1, 0));
        }
        final int first = host.lastSend().worker();
        host.queried.clear();
        host.advanceTime(2 * SECOND);
        assertThat(host.sends).as("sends before new load reports").hasSize(1);
        assertThat(host.queried).doesNotContain(first).hasSize(2);
        host.queried.forEach(
                worker ->
                        host.dispatcher.loadReported(
                                host.nowUs,
                                worker,
                                Outcome.SERVED,
                                new LoadReport(free, -1, 4 - free)));
        host.advanceTime(SECOND / 10);
        assertThat(host.sends).hasSize(sends);
    }

    @Test
    void doesNotHedgeJobThatReportsProgress() {
        final RecordingHost host = hostWithRunningJob(Idempotency.SAFE);
        for (int second = 1; second <= 4; second++) {
            host.advanceTime(SECOND);
            host.dispatcher.jobProgressed(host.nowUs, 1, 0, host.lastSend().worker(), 0.2 * second);
        }
        assertThat(host.sends).hasSize(1);
    }
}
