package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks which calls a restarted dispatcher makes, that changes cause none, and when its list is
 * current.
 */
class RestartScaleTest {

    private static final long SEED = 13;
    private static final int REQUESTS = 1_000;

    /**
     * Protects discovery against a thundering herd: all dispatchers poll within this time, and none
     * polls twice.
     */
    private static final long POLLS_WITHIN_US = PlannedSize.SECOND_US + 50_000;

    private static ScriptedHost restarted(int workers) {
        final ScriptedHost host =
                new ScriptedHost(
                        PlannedSize.settings(PlannedSize.DISPATCHERS, PlannedSize.TENANTS), SEED);
        host.list(EndpointListForm.CACHED, PlannedSize.workers(workers));
        return host;
    }

    @ParameterizedTest
    @ValueSource(
            ints = {PlannedSize.TENTH_OF_WORKERS, PlannedSize.WORKERS, 10 * PlannedSize.WORKERS})
    void pollsListOnceAndSendsNoLoadQueries(int workers) {
        final ScriptedHost host = restarted(workers);
        host.advance(POLLS_WITHIN_US);
        assertThat(host.watches).as("calls for the list in the first second").isEqualTo(1);
        host.advance(60 * PlannedSize.SECOND_US);
        assertThat(host.watches).as("calls for the list in a minute").isEqualTo(1);
        assertThat(host.loadQueries).as("load queries in a minute without requests").isZero();
    }

    /** The cached list is stale: a tenth of its workers are gone and as many were added since. */
    @Test
    void sendsToNoRemovedWorkerOnceListIsUpdated() {
        final ScriptedHost host = restarted(PlannedSize.WORKERS);
        host.advance(POLLS_WITHIN_US);
        final int gone = PlannedSize.WORKERS / 10;
        final List<Worker> now =
                IntStream.range(gone, PlannedSize.WORKERS + gone)
                        .mapToObj(id -> PlannedSize.worker(id, WorkerState.READY, 0))
                        .toList();
        host.list(EndpointListForm.FULL, now);
        boolean toNew = false;
        for (int i = 0; i < REQUESTS; i++) {
            host.request(PlannedSize.USUAL, i % PlannedSize.TENANTS);
            assertThat(host.inFlight.peek().workerId())
                    .as("worker of request %d", i)
                    .isGreaterThanOrEqualTo(gone);
            toNew |= host.inFlight.peek().workerId() >= PlannedSize.WORKERS;
            host.end(Outcome.SERVED);
            host.nowUs += 1_000;
        }
        assertThat(toNew).as("a request was sent to a new worker").isTrue();
    }

    @Test
    void listAndSettingsChangesCauseNoMessages() {
        final ScriptedHost host = restarted(PlannedSize.WORKERS);
        host.advance(POLLS_WITHIN_US);
        final int changes = 1_500;
        final long betweenUs = 100_000;
        final long before = host.timerCalls;
        for (int i = 0; i < changes; i++) {
            host.list(
                    EndpointListForm.CHANGES,
                    List.of(
                            PlannedSize.worker(
                                    i % PlannedSize.WORKERS, WorkerState.READY, host.nowUs)));
            host.module.settingsChanged(
                    host.nowUs,
                    PlannedSize.settings(PlannedSize.DISPATCHERS, PlannedSize.TENANTS + i % 2));
            host.advance(betweenUs);
        }
        assertThat(host.watches).as("calls for the list after %d changes", changes).isEqualTo(1);
        assertThat(host.loadQueries + host.sends)
                .as("load queries and sends after %d changes", changes)
                .isZero();
        // A single timer keeps running, however many changes arrive; otherwise each change would
        // add one permanently.
        assertThat(host.timerCalls - before)
                .as("ticks")
                .isEqualTo(changes * betweenUs / ScriptedHost.TICK_US);
    }
}
