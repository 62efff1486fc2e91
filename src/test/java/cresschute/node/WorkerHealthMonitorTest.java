package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.control.OperatorEvent;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import cresschute.node.RequestListener.AttemptObserver;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which changes become events for operators, and which workers are reported as changed. */
class WorkerHealthMonitorTest {

    private static final int S1 = 0;
    private static final int S2 = 1;

    private final IdleLifecycle idle;

    WorkerHealthMonitorTest() throws Exception {
        idle = new IdleLifecycle().started();
        idle.health.updateConditions();
    }

    private List<String> events() {
        return idle.events.events().after(0).events().stream().map(OperatorEvent::text).toList();
    }

    private void setListedState(int worker, WorkerState state) {
        idle.health.endpointListChanged(
                idle.nowUs,
                List.of(
                        WorkerRegistry.withState(
                                idle.lifecycle.registry().listed().get(worker), state)));
    }

    @Test
    void recordsNoEventForFirstListAndConditions() {
        assertThat(events()).isEmpty();
    }

    @Test
    void recordsOneEventPerListedStateChange() {
        setListedState(S1, WorkerState.DRAINING);
        setListedState(S1, WorkerState.DRAINING);
        idle.health.updateConditions();
        assertThat(events()).containsExactly("the list says s-1 is draining");
        setListedState(S1, WorkerState.READY);
        assertThat(events())
                .containsExactly("the list says s-1 is draining", "the list says s-1 is serving");
    }

    @Test
    void recordsEventWithReasonWhenConnectionsFail() {
        for (int i = 0; i < 3; i++) {
            idle.health
                    .attemptStarted(idle.nowUs, S2, 0)
                    .ended(idle.nowUs, Outcome.CONNECT_FAILED, LoadReport.NONE);
        }
        idle.health.updateConditions();
        idle.nowUs += 500_000;
        idle.health.updateConditions();
        assertThat(events()).containsExactly("s-2 is silent: 3 connections in a row failed");
    }

    @Test
    void countsAttemptsInFlightPerWorker() {
        final AttemptObserver attempt = idle.health.attemptStarted(idle.nowUs, S2, 0);
        assertThat(idle.health.inFlight("s-2")).isEqualTo(1);
        assertThat(idle.health.inFlight("s-1")).isZero();
        assertThat(idle.health.inFlight("unknown")).isZero();
        attempt.ended(idle.nowUs, Outcome.SERVED, LoadReport.NONE);
        assertThat(idle.health.inFlight("s-2")).isZero();
    }

    @Test
    void reportsChangedWorkersUntilCleared() {
        idle.health.clearChangedWorkers();
        idle.health.drainsChanged(List.of("s-1", "unknown"));
        assertThat(idle.health.changedWorkers()).containsExactly(S1);
        idle.health.loadReported(idle.nowUs, S2, LoadReport.NONE);
        assertThat(idle.health.changedWorkers()).containsExactlyInAnyOrder(S1, S2);
        idle.health.clearChangedWorkers();
        assertThat(idle.health.changedWorkers()).isEmpty();
    }
}
