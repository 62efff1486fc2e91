package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.RecordingHost.workerIn;
import static cresschute.dispatch.TestHosts.hostOfClass;
import static cresschute.dispatch.TestHosts.threeSafeWorkers;
import static cresschute.dispatch.TestSettings.placedClass;
import static cresschute.dispatch.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks which worker gets an attempt. */
class DispatcherSelectionTest {

    private static final Placement WEST = new Placement(List.of(1), null);

    @Test
    void keepsPlacementOfClassAtEveryAttempt() {
        final RecordingHost host =
                new RecordingHost(
                        settings(
                                List.of(
                                        placedClass(
                                                Idempotency.SAFE, DeduplicationScope.ALL, WEST))));
        host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1),
                worker(5, 2, 2));
        for (int id = 1; id <= 30; id++) {
            host.request(id, 0);
            for (int attempt = 0; attempt < 4; attempt++) {
                host.end(id, attempt, host.lastSend().worker(), Outcome.CONNECT_FAILED);
                host.advanceTime(SECOND / 20);
            }
        }
        assertThat(host.sends)
                .hasSizeGreaterThan(20)
                .extracting(RecordingHost.Send::worker)
                .containsOnly(3, 4);
    }

    @Test
    void holdsAndRejectsRequestWithoutWorkerInPlacement() {
        final RecordingHost host =
                new RecordingHost(
                        settings(
                                List.of(
                                        placedClass(
                                                Idempotency.UNSAFE,
                                                DeduplicationScope.ALL,
                                                new Placement(List.of(1), List.of(1))))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).request(1, 0);
        host.advanceTime(5 * SECOND);
        assertThat(host.sends).isEmpty();
        assertThat(host.rejected).containsExactly(1);
    }

    @Test
    void sendsMoreToFasterWorker() {
        final RecordingHost host =
                hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        int fast = 0;
        for (int id = 0; id < 600; id++) {
            host.request(id, 0);
            final int worker = host.lastSend().worker();
            host.dispatcher.jobProgressed(host.nowUs, id, 0, worker, 0);
            host.advanceTime(worker == 1 ? SECOND / 20 : SECOND / 5);
            host.end(id, 0, worker, Outcome.SERVED);
            fast += id >= 300 && worker == 1 ? 1 : 0;
        }
        assertThat(fast).isGreaterThan(180);
    }

    private static List<Integer> workersOfKey(long dataKey, RecordingHost host) {
        host.sends.clear();
        for (int id = 0; id < 20; id++) {
            final int request = host.log.size() + 1000;
            host.request(request, new Job(0, 0, 1, 0, dataKey, false));
            host.end(request, 0, host.lastSend().worker(), Outcome.SERVED);
        }
        return host.sends.stream().map(RecordingHost.Send::worker).distinct().toList();
    }

    @Test
    void sendsDataKeyToSameWorkerFromEveryDispatcher() {
        final RecordingHost one = hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL);
        final RecordingHost other = hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL);
        final Worker[] workers =
                IntStream.range(0, 12).mapToObj(id -> worker(id, 0, 0)).toArray(Worker[]::new);
        one.list(EndpointListForm.CACHED, workers);
        other.request(999, 0);
        other.list(EndpointListForm.CACHED, workers);
        final Set<Integer> dataWorkers = new HashSet<>();
        for (long key = 1; key <= 40; key++) {
            assertThat(workersOfKey(key, one)).hasSize(1).isEqualTo(workersOfKey(key, other));
            dataWorkers.add(one.lastSend().worker());
        }
        assertThat(dataWorkers).hasSizeGreaterThan(8);
    }

    /**
     * Returns the worker that holds a data key, after it has rejected a job of that key as full.
     */
    private static int fullDataWorkerOf(long dataKey, RecordingHost host) {
        final int dataWorker = workersOfKey(dataKey, host).get(0);
        host.request(1, new Job(0, 0, 1, 0, dataKey, false));
        host.end(1, 0, dataWorker, Outcome.FULL);
        return dataWorker;
    }

    @Test
    void sendsToNextWorkerOnRingIfDataWorkerIsFullOrGone() {
        final RecordingHost host = threeSafeWorkers();
        final int dataWorker = fullDataWorkerOf(5, host);
        final int next = host.lastSend().worker();
        assertThat(next).isNotEqualTo(dataWorker);
        host.list(EndpointListForm.CHANGES, workerIn(WorkerState.GONE, dataWorker, 0));
        assertThat(workersOfKey(5, host)).containsExactly(next);
    }

    @Test
    void avoidsFullWorkerForAboutOneRunningTime() {
        final RecordingHost host = threeSafeWorkers();
        final int dataWorker = fullDataWorkerOf(5, host);
        assertThat(workersOfKey(5, host)).doesNotContain(dataWorker);
        host.advanceTime(SECOND);
        assertThat(workersOfKey(5, host)).containsExactly(dataWorker);
    }
}
