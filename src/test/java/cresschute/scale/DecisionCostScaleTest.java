package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import cresschute.dispatch.WorkerVisitCounter;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * How many workers a dispatcher looks at for a decision, a timer and a change of the list, by
 * instrumented collections.
 */
class DecisionCostScaleTest {

    private static final long SEED = 12;
    private static final int DECISIONS = 2_000;
    private static final long BETWEEN_DECISIONS_US = 10_000;

    /** Three rounds of eight draws, and one look for each load report. */
    private static final int MAX_VISITS_A_DECISION = 32;

    /** A fill visits each worker once, and there are at most three of them in a second. */
    private static final int MAX_VISITS_A_WORKER_AND_SECOND = 4;

    private static final double MAX_VISITS_A_WORKER_AND_CHANGE = 3.5;

    private static ScriptedHost host(int workers) {
        final ScriptedHost host =
                new ScriptedHost(
                        PlannedSize.settings(PlannedSize.DISPATCHERS, PlannedSize.TENANTS), SEED);
        host.list(EndpointListForm.CACHED, PlannedSize.workers(workers));
        return host;
    }

    /** Mean visits of a decision and of the ending that follows; none may exceed the bound. */
    private static double visitsADecision(int workers) {
        final ScriptedHost host = host(workers);
        final WorkerVisitCounter visits = WorkerVisitCounter.of(host.module, PlannedSize.ZONES);
        long all = 0;
        for (int i = 0; i < DECISIONS; i++) {
            host.nowUs += BETWEEN_DECISIONS_US;
            host.request(PlannedSize.USUAL, i % PlannedSize.TENANTS);
            host.end(Outcome.SERVED);
            final long taken = visits.take();
            assertThat(taken)
                    .as("visits of decision %d before %d workers", i, workers)
                    .isBetween(1L, (long) MAX_VISITS_A_DECISION);
            all += taken;
        }
        return (double) all / DECISIONS;
    }

    @Test
    void visitsNoMoreWorkersForADecisionAmongTenTimesAsMany() {
        final double tenth = visitsADecision(PlannedSize.TENTH_OF_WORKERS);
        final double planned = visitsADecision(PlannedSize.WORKERS);
        final double beyond = visitsADecision(10 * PlannedSize.WORKERS);
        // Fewer workers are queried less often, since each reports more often: the bound is on
        // growth.
        assertThat(planned)
                .as("mean visits before 1,400 workers, 140: %s", tenth)
                .isLessThan(MAX_VISITS_A_DECISION / 2.0);
        assertThat(beyond)
                .as("mean visits before 14,000 workers")
                .isBetween(0.8 * planned, 1.2 * planned);
    }

    @Test
    void visitsEachWorkerAFewTimesASecondForTimers() {
        for (final int workers : new int[] {PlannedSize.TENTH_OF_WORKERS, PlannedSize.WORKERS}) {
            final ScriptedHost host = host(workers);
            final WorkerVisitCounter visits = WorkerVisitCounter.of(host.module, PlannedSize.ZONES);
            final int seconds = 20;
            host.pass(seconds * PlannedSize.SECOND_US);
            assertThat((double) visits.take() / workers / seconds)
                    .as("visits a worker a second of %d", workers)
                    .isBetween(0.5, (double) MAX_VISITS_A_WORKER_AND_SECOND);
        }
    }

    @Test
    void visitsEachWorkerAFewTimesForAChangeOfTheList() {
        for (final int workers : new int[] {PlannedSize.TENTH_OF_WORKERS, PlannedSize.WORKERS}) {
            final ScriptedHost host = host(workers);
            final WorkerVisitCounter visits = WorkerVisitCounter.of(host.module, PlannedSize.ZONES);
            host.list(
                    EndpointListForm.CHANGES,
                    List.of(PlannedSize.worker(3, WorkerState.DRAINING, 0)));
            assertThat((double) visits.take() / workers)
                    .as("visits a worker for a change of %d", workers)
                    .isLessThanOrEqualTo(MAX_VISITS_A_WORKER_AND_CHANGE);
        }
    }
}
