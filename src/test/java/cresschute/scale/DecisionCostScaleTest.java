package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import cresschute.dispatch.WorkerVisitCounter;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Bounds how many workers a dispatcher visits for a decision, a timer and a change of the list, as
 * counted by instrumented collections.
 */
class DecisionCostScaleTest {

    private static final long SEED = 12;
    private static final int DECISIONS = 2_000;
    private static final long BETWEEN_DECISIONS_US = 10_000;

    /** Three rounds of eight samples, and one visit for each load report. */
    private static final int MAX_VISITS_PER_DECISION = 32;

    /**
     * An allocation of the admission budgets visits each worker once, and there are at most three
     * of them a second.
     */
    private static final int MAX_VISITS_PER_WORKER_PER_SECOND = 4;

    private static final double MAX_VISITS_PER_WORKER_PER_CHANGE = 3.5;

    private static ScriptedHost host(int workers) {
        final ScriptedHost host =
                new ScriptedHost(
                        PlannedSize.settings(PlannedSize.DISPATCHERS, PlannedSize.TENANTS), SEED);
        host.list(EndpointListForm.CACHED, PlannedSize.workers(workers));
        return host;
    }

    /**
     * Returns the mean number of visits for a decision and the end of its attempt; none may exceed
     * the bound.
     */
    private static double visitsPerDecision(int workers) {
        final ScriptedHost host = host(workers);
        final WorkerVisitCounter visits = WorkerVisitCounter.of(host.module, PlannedSize.ZONES);
        long total = 0;
        for (int i = 0; i < DECISIONS; i++) {
            host.nowUs += BETWEEN_DECISIONS_US;
            host.request(PlannedSize.USUAL, i % PlannedSize.TENANTS);
            host.end(Outcome.SERVED);
            final long count = visits.take();
            assertThat(count)
                    .as("visits for decision %d among %d workers", i, workers)
                    .isBetween(1L, (long) MAX_VISITS_PER_DECISION);
            total += count;
        }
        return (double) total / DECISIONS;
    }

    @Test
    void decisionVisitsNoMoreWorkersInTenfoldFleet() {
        final double tenth = visitsPerDecision(PlannedSize.TENTH_OF_WORKERS);
        final double planned = visitsPerDecision(PlannedSize.WORKERS);
        final double tenfold = visitsPerDecision(10 * PlannedSize.WORKERS);
        // In a smaller fleet each worker reports more often and is queried less often, so the bound
        // applies to growth only.
        assertThat(planned)
                .as("mean visits among 1,400 workers; among 140: %s", tenth)
                .isLessThan(MAX_VISITS_PER_DECISION / 2.0);
        assertThat(tenfold)
                .as("mean visits among 14,000 workers")
                .isBetween(0.8 * planned, 1.2 * planned);
    }

    @Test
    void timersVisitEachWorkerAFewTimesPerSecond() {
        for (final int workers : new int[] {PlannedSize.TENTH_OF_WORKERS, PlannedSize.WORKERS}) {
            final ScriptedHost host = host(workers);
            final WorkerVisitCounter visits = WorkerVisitCounter.of(host.module, PlannedSize.ZONES);
            final int seconds = 20;
            host.advance(seconds * PlannedSize.SECOND_US);
            assertThat((double) visits.take() / workers / seconds)
                    .as("visits per worker per second, %d workers", workers)
                    .isBetween(0.5, (double) MAX_VISITS_PER_WORKER_PER_SECOND);
        }
    }

    @Test
    void listChangeVisitsEachWorkerAFewTimes() {
        for (final int workers : new int[] {PlannedSize.TENTH_OF_WORKERS, PlannedSize.WORKERS}) {
            final ScriptedHost host = host(workers);
            final WorkerVisitCounter visits = WorkerVisitCounter.of(host.module, PlannedSize.ZONES);
            host.list(
                    EndpointListForm.CHANGES,
                    List.of(PlannedSize.worker(3, WorkerState.DRAINING, 0)));
            assertThat((double) visits.take() / workers)
                    .as("visits per worker for a list change, %d workers", workers)
                    .isLessThanOrEqualTo(MAX_VISITS_PER_WORKER_PER_CHANGE);
        }
    }
}
