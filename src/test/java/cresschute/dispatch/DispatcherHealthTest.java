package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.RecordingHost.workerIn;
import static cresschute.dispatch.TestHosts.hostOfClass;
import static cresschute.dispatch.TestHosts.hostWithRunningJob;
import static cresschute.dispatch.TestSettings.requestClass;
import static cresschute.dispatch.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks slow start, ejection and unresponsive workers. */
class DispatcherHealthTest {

    @Test
    void sendsWarmingWorkerAtMostThisDispatchersShare() {
        final RecordingHost host =
                new RecordingHost(
                        new TestSettings(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.SAFE,
                                                        DeduplicationScope.ALL)))
                                .dispatchers(4)
                                .build());
        host.list(EndpointListForm.CACHED, workerIn(WorkerState.READY, 1, host.nowUs));
        // Jobs are estimated to run 0.4 s. While warming up, the worker does 0.2 to 0.25 s of work
        // in the first second.
        for (int id = 0; id < 100; id++) {
            host.request(id, 0);
            host.advanceTime(SECOND / 100);
        }
        assertThat(host.sends.size() * 0.4).isLessThanOrEqualTo(0.25 * 3 / 4);
    }

    /**
     * Guards against treating a wait behind other jobs as a lack of capacity of the worker kind.
     */
    @Test
    void keepsWarmingWorkersShareIfJobsWaitedBehindOthers() {
        final int[] sends = new int[2];
        for (int late = 0; late < 2; late++) {
            final RecordingHost host =
                    new RecordingHost(
                            settings(
                                    List.of(
                                            requestClass(
                                                    1, Idempotency.SAFE, DeduplicationScope.ALL))));
            host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
            for (int id = 0; id < 30; id++) {
                host.request(id, 0);
                final int worker = host.lastSend().worker();
                host.advanceTime(late == 0 ? 1 : 2 * SECOND);
                host.dispatcher.jobProgressed(host.nowUs, id, 0, worker, 0);
                host.advanceTime(4 * SECOND / 10);
                host.dispatcher.attemptEnded(
                        host.nowUs,
                        id,
                        0,
                        worker,
                        Outcome.SERVED,
                        host.nowUs,
                        true,
                        new LoadReport(2, -1, 0));
            }
            host.list(EndpointListForm.FULL, workerIn(WorkerState.READY, 3, host.nowUs));
            host.sends.clear();
            for (int id = 100; id < 1000; id++) {
                host.request(id, 0);
                host.advanceTime(SECOND / 100);
            }
            sends[late] = host.sends.size();
        }
        assertThat(sends[1]).isGreaterThan(sends[0] * 3 / 4);
    }

    @Test
    void ejectsWorkerAfterFailedConnection() {
        final RecordingHost host =
                hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 0),
                                worker(4, 0, 0),
                                worker(5, 0, 0),
                                worker(6, 0, 0));
        host.request(1, 0);
        final int broken = host.lastSend().worker();
        host.end(1, 0, broken, Outcome.CONNECT_FAILED);
        for (int id = 2; id < 30; id++) {
            host.request(id, 0);
        }
        assertThat(host.sends.subList(1, host.sends.size()))
                .extracting(RecordingHost.Send::worker)
                .doesNotContain(broken);
    }

    @Test
    void ignoresEjectionIfAllWorkersFail() {
        final RecordingHost host =
                hostOfClass(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
        for (int id = 0; id < 8; id++) {
            host.request(id, 0);
            host.end(id, 0, host.lastSend().worker(), Outcome.BROKEN);
        }
        assertThat(host.sends).hasSize(8);
    }

    @Test
    void avoidsWorkerWhoseJobsInFlightAreLate() {
        final RecordingHost host =
                hostOfClass(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(2, 0, 0));
        for (int id = 10; id < 90; id++) {
            host.request(id, 0);
            host.dispatcher.jobProgressed(host.nowUs, id, 0, 2, 0);
            host.advanceTime(SECOND / 5);
            host.end(id, 0, 2, Outcome.SERVED);
        }
        host.list(EndpointListForm.FULL, worker(1, 0, 0));
        for (int id = 0; id < 6; id++) {
            host.request(id, 0);
        }
        host.advanceTime(2 * SECOND);
        for (int id = 0; id < 6; id++) {
            host.end(id, 0, 1, Outcome.CANCELLED);
        }
        host.list(EndpointListForm.CHANGES, worker(2, 0, 0));
        host.sends.clear();
        for (int id = 100; id < 3000; id++) {
            final int before = host.sends.size();
            host.request(id, 0);
            if (host.sends.size() > before) {
                host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
            }
        }
        // Both samples are the same worker a quarter of the time.
        assertThat(host.sends.stream().filter(send -> send.worker() == 1).count() * 3)
                .isLessThan(host.sends.size());
    }

    @Test
    void doesNotEjectWorkerForOneStreamWithoutReports() {
        final RecordingHost host = hostWithRunningJob(Idempotency.SAFE);
        final int first = host.lastSend().worker();
        for (int id = 2; id <= 8; id++) {
            host.request(id, 0);
        }
        final List<RecordingHost.Send> others = List.copyOf(host.sends.subList(1, 8));
        assertThat(others).extracting(RecordingHost.Send::worker).contains(first);
        for (int note = 1; note <= 5; note++) {
            for (final RecordingHost.Send other : others) {
                host.dispatcher.jobProgressed(
                        host.nowUs, other.request(), 0, other.worker(), 0.1 * note);
            }
            host.advanceTime(SECOND / 2);
        }
        host.sends.clear();
        for (int id = 9; id < 30; id++) {
            host.request(id, 0);
        }
        assertThat(host.sends).extracting(RecordingHost.Send::worker).contains(first);
    }

    @Test
    void reportsAndAvoidsWorkerThatDoesNotStartJobsOfClass() {
        final RecordingHost host =
                new RecordingHost(
                        settings(
                                List.of(
                                        requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL),
                                        requestClass(
                                                1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        final LoadReport free = new LoadReport(6, -1, -1);
        host.dispatcher.attemptEnded(host.nowUs, 1, 0, 1, Outcome.SERVED, 100_000, true, free);
        host.request(2, 0);
        host.advanceTime(SECOND * 3);
        assertThat(host.reportedUnresponsive).containsExactly(1);
        host.list(EndpointListForm.CHANGES, worker(2, 0, 0));
        host.dispatcher.workerReportedUnresponsive(host.nowUs, 77, 0);
        host.dispatcher.workerReportedUnresponsive(host.nowUs, 1, 99);
        host.sends.clear();
        for (int id = 10; id < 30; id++) {
            host.request(id, 0);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
        assertThat(host.sends).extracting(RecordingHost.Send::worker).containsOnly(2);
    }

    @Test
    void avoidsWorkerReportedByPeerForItsClassForLimitedTime() {
        final RecordingHost host =
                new RecordingHost(
                        settings(
                                List.of(
                                        requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL),
                                        requestClass(
                                                1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.dispatcher.workerReportedUnresponsive(host.nowUs, 1, 0);
        assertThat(workersOf(0, host)).containsOnly(2);
        assertThat(workersOf(1, host)).contains(1);
        host.advanceTime(5 * SECOND);
        assertThat(workersOf(0, host)).contains(1);
    }

    private static Set<Integer> workersOf(int requestClass, RecordingHost host) {
        final int before = host.sends.size();
        for (int i = 0; i < 20; i++) {
            final int id = 100 + host.sends.size();
            host.request(id, requestClass);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
        return host.sends.stream()
                .skip(before)
                .map(RecordingHost.Send::worker)
                .collect(Collectors.toSet());
    }
}
