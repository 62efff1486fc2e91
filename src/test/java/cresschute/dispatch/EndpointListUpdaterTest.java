package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks how the endpoint list changes the worker index. */
class EndpointListUpdaterTest {

    private static final long NOW = 100 * SECOND;
    private static final TestSettings SETTINGS =
            new TestSettings(
                            List.of(
                                    TestSettings.requestClass(
                                            1, Idempotency.SAFE, DeduplicationScope.ALL)))
                    .closeOnDrainWithinUs(0);

    private final PolicyFixture fixture = new PolicyFixture(SETTINGS.build());
    private final RecordingHost actions = new RecordingHost(SETTINGS.build());
    private final EndpointListUpdater updater =
            new EndpointListUpdater(
                    fixture.settings, fixture.workers, fixture.loads, fixture.slowStart, actions);

    private void apply(EndpointListForm form, Worker... entries) {
        updater.apply(form, List.of(entries), NOW);
    }

    private List<Integer> listed() {
        return fixture.workers.workers().stream().map(WorkerInstance::id).toList();
    }

    @Test
    void keepsWorkersNotNamedInChanges() {
        apply(EndpointListForm.CACHED, RecordingHost.worker(1, 0, 0));
        apply(EndpointListForm.CHANGES, RecordingHost.worker(2, 0, 0));
        assertThat(listed()).containsExactly(1, 2);
        assertThat(actions.idleClosed).isEmpty();
    }

    @Test
    void removesWorkersMissingFromCompleteList() {
        apply(EndpointListForm.CACHED, RecordingHost.worker(1, 0, 0));
        apply(EndpointListForm.FULL, RecordingHost.worker(2, 0, 0));
        assertThat(listed()).containsExactly(2);
        assertThat(actions.idleClosed).containsExactly(1);
    }

    @Test
    void removesDrainingWorkerAndClosesConnectionAfterEachLaterAttempt() {
        apply(EndpointListForm.CACHED, RecordingHost.worker(1, 0, 0));
        final WorkerInstance worker = fixture.workers.find(1);
        apply(EndpointListForm.CHANGES, RecordingHost.workerIn(WorkerState.DRAINING, 1, 0));
        assertThat(worker.isDispatchable()).isFalse();
        assertThat(listed()).isEmpty();
        updater.attemptEnded(1);
        assertThat(actions.idleClosed).containsExactly(1, 1);
    }

    @Test
    void keepsStateOnlyForSameInstance() {
        apply(EndpointListForm.CACHED, RecordingHost.workerIn(WorkerState.READY, 1, NOW));
        final WorkerInstance worker = fixture.workers.find(1);
        apply(EndpointListForm.FULL, RecordingHost.workerIn(WorkerState.READY, 1, NOW));
        assertThat(fixture.workers.find(1)).isSameAs(worker);
        apply(EndpointListForm.FULL, RecordingHost.workerIn(WorkerState.READY, 1, NOW + 1));
        assertThat(fixture.workers.find(1)).isNotSameAs(worker);
        assertThat(worker.isDispatchable()).isFalse();
    }
}
