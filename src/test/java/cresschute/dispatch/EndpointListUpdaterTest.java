package cresschute.dispatch;

import static cresschute.dispatch.Rules.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the endpoint list does to the index of workers. */
class EndpointListUpdaterTest {

    private static final long NOW = 100 * SECOND;
    private static final TestSettings SETTINGS =
            new TestSettings(
                            List.of(
                                    TestSettings.requestClass(
                                            1, Idempotency.SAFE, DeduplicationScope.ALL)))
                    .closeOnDrainWithinUs(0);

    private final Rules rules = new Rules(SETTINGS.build());
    private final RecordingActions actions = new RecordingActions(SETTINGS.build());
    private final EndpointListUpdater updater =
            new EndpointListUpdater(
                    rules.settings, rules.workers, rules.loads, rules.slowStart, actions);

    private void apply(EndpointListForm form, Worker... entries) {
        updater.apply(form, List.of(entries), NOW);
    }

    private List<Integer> listed() {
        return rules.workers.workers().stream().map(WorkerInstance::id).toList();
    }

    @Test
    void keepsWorkersThatChangesDoNotName() {
        apply(EndpointListForm.CACHED, RecordingActions.worker(1, 0, 0));
        apply(EndpointListForm.CHANGES, RecordingActions.worker(2, 0, 0));
        assertThat(listed()).containsExactly(1, 2);
        assertThat(actions.idleClosed).isEmpty();
    }

    @Test
    void withdrawsWorkersThatAWholeListDoesNotName() {
        apply(EndpointListForm.CACHED, RecordingActions.worker(1, 0, 0));
        apply(EndpointListForm.FULL, RecordingActions.worker(2, 0, 0));
        assertThat(listed()).containsExactly(2);
        assertThat(actions.idleClosed).containsExactly(1);
    }

    @Test
    void forgetsADrainingWorkerAndClosesWhatEachLaterAttemptLeavesIdle() {
        apply(EndpointListForm.CACHED, RecordingActions.worker(1, 0, 0));
        final WorkerInstance worker = rules.workers.find(1);
        apply(EndpointListForm.CHANGES, RecordingActions.workerIn(WorkerState.DRAINING, 1, 0));
        assertThat(worker.isDispatchable()).isFalse();
        assertThat(listed()).isEmpty();
        updater.attemptEnded(1);
        assertThat(actions.idleClosed).containsExactly(1, 1);
    }

    @Test
    void keepsWhatIsKnownOfTheSameIncarnationAlone() {
        apply(EndpointListForm.CACHED, RecordingActions.workerIn(WorkerState.READY, 1, NOW));
        final WorkerInstance worker = rules.workers.find(1);
        apply(EndpointListForm.FULL, RecordingActions.workerIn(WorkerState.READY, 1, NOW));
        assertThat(rules.workers.find(1)).isSameAs(worker);
        apply(EndpointListForm.FULL, RecordingActions.workerIn(WorkerState.READY, 1, NOW + 1));
        assertThat(rules.workers.find(1)).isNotSameAs(worker);
        assertThat(worker.isDispatchable()).isFalse();
    }
}
