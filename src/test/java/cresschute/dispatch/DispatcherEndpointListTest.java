package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.RecordingHost.workerIn;
import static cresschute.dispatch.TestHosts.hostOfClass;
import static cresschute.dispatch.TestHosts.twoSafeWorkers;
import static cresschute.dispatch.TestSettings.requestClass;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the effects of the endpoint list, and when it is polled. */
class DispatcherEndpointListTest {

    private static RecordingHost hostThatClosesIdleConnections(long withinUs) {
        return new RecordingHost(
                new TestSettings(List.of(requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL)))
                        .closeOnDrainWithinUs(withinUs)
                        .build());
    }

    @Test
    void closesIdleConnectionsOnDrainAndAfterEachLaterOutcome() {
        final RecordingHost host =
                hostThatClosesIdleConnections(800_000)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.request(2, 0);
        assertThat(host.idleClosed).isEmpty();
        host.list(EndpointListForm.CHANGES, workerIn(WorkerState.DRAINING, 1, 0));
        assertThat(host.idleClosed).containsExactly(1);
        host.end(1, 0, 1, Outcome.SERVED);
        assertThat(host.idleClosed).containsExactly(1, 1);
        host.list(EndpointListForm.FULL, worker(2, 0, 0));
        host.idleClosed.clear();
        host.end(2, 0, 1, Outcome.SERVED);
        assertThat(host.idleClosed).containsExactly(1);
    }

    @Test
    void closesIdleConnectionsToWorkerFirstListedAsDraining() {
        final RecordingHost host =
                hostThatClosesIdleConnections(0)
                        .list(EndpointListForm.CACHED, workerIn(WorkerState.DRAINING, 1, 0));
        assertThat(host.idleClosed).containsExactly(1);
    }

    @Test
    void keepsIdleConnectionsIfNoTimeIsSet() {
        final RecordingHost host =
                hostThatClosesIdleConnections(DispatchSettings.UNLIMITED)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, workerIn(WorkerState.DRAINING, 1, 0));
        host.end(1, 0, 1, Outcome.SERVED);
        assertThat(host.idleClosed).isEmpty();
    }

    /**
     * Guards against an index that loses track of its groups' members when a worker's zone changes.
     */
    @Test
    void treatsWorkerWithAnotherZoneAsNewInstance() {
        final RecordingHost host =
                hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.list(EndpointListForm.CHANGES, worker(1, 1, 1));
        host.list(EndpointListForm.CHANGES, new Worker(1, 2, 1, 2, WorkerState.GONE, 1, 0));
        host.request(1, 0);
        assertThat(host.sends).isEmpty();
    }

    @Test
    void sendsNothingToDrainingGoneOrUnlistedWorker() {
        final RecordingHost host = twoSafeWorkers();
        host.list(EndpointListForm.CHANGES, workerIn(WorkerState.DRAINING, 1, 0));
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, workerIn(WorkerState.READY, 1, 0));
        host.list(EndpointListForm.CHANGES, workerIn(WorkerState.GONE, 1, 0));
        host.request(2, 0);
        host.list(EndpointListForm.FULL, worker(2, 1, 1));
        host.request(3, 0);
        assertThat(host.sends).extracting(RecordingHost.Send::worker).containsOnly(2).hasSize(3);
    }

    @Test
    void keepsListAfterFailedPollAndPollsAgain() {
        final RecordingHost host =
                new RecordingHost(
                        new TestSettings(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.SAFE,
                                                        DeduplicationScope.ALL)))
                                .polled()
                                .build());
        host.list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.advanceTime(2 * SECOND);
        assertThat(host.polls).isEqualTo(1);
        host.list(EndpointListForm.FAILED);
        host.request(1, 0);
        assertThat(host.sends).hasSize(1);
        host.advanceTime(2 * SECOND);
        assertThat(host.polls).isEqualTo(2);
        host.list(EndpointListForm.CHANGES);
        host.advanceTime(20 * SECOND);
        assertThat(host.polls).isEqualTo(2);
    }
}
