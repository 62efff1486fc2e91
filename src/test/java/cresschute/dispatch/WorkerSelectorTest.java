package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which workers are selected for an attempt. */
class WorkerSelectorTest {

    private static final long NOW = 100 * SECOND;

    private final PolicyFixture fixture = PolicyFixture.ofSafeClass();

    @Test
    void selectsNothingWithoutWorkers() {
        assertThat(fixture.selector.select(fixture.request(1, NOW), NOW)).isEmpty();
    }

    @Test
    void putsLowestExpectedLatencyFirst() {
        final WorkerInstance busy = fixture.ready(1, 0, 0);
        final WorkerInstance idle = fixture.ready(2, 0, 0);
        busy.reserveSlots(3);
        for (int id = 0; id < 50; id++) {
            final List<WorkerInstance> selected =
                    fixture.selector.select(fixture.request(id, NOW), NOW);
            assertThat(selected.get(0)).isSameAs(selected.contains(idle) ? idle : busy);
        }
    }

    @Test
    void ranksFasterWorkerBeforeSlowerOne() {
        final WorkerInstance fast = fixture.ready(1, 0, 0);
        final WorkerInstance slow = fixture.ready(2, 0, 0);
        slow.learnSlowdown(3);
        final PendingRequest request = fixture.request(1, NOW);
        assertThat(fixture.selector.cost(fast, request, NOW))
                .isLessThan(fixture.selector.cost(slow, request, NOW));
    }

    @Test
    void addsPriceOfZoneCrossing() {
        final WorkerInstance near = fixture.ready(1, 0, 0);
        final WorkerInstance far = fixture.ready(2, 1, 1);
        final PendingRequest request = fixture.request(1, NOW);
        // The price of 0.02 times the price weight of 20 increases the cost by 40 %.
        assertThat(fixture.selector.cost(far, request, NOW))
                .isEqualTo(fixture.selector.cost(near, request, NOW) * 1.4);
    }

    @Test
    void doesNotReturnWorkerOfLastAttempt() {
        final WorkerInstance last = fixture.ready(1, 0, 0);
        fixture.ready(2, 0, 0);
        final PendingRequest request = fixture.request(1, NOW);
        request.startAttempt(last, NOW);
        for (int i = 0; i < 50; i++) {
            assertThat(fixture.selector.select(request, NOW)).doesNotContain(last);
        }
    }

    @Test
    void prefersWorkersThatAreNotEjected() {
        final WorkerInstance ejected = fixture.ready(1, 0, 0);
        final WorkerInstance ready = fixture.ready(2, 0, 0);
        ejected.ejectUntil(NOW + SECOND);
        for (int id = 0; id < 50; id++) {
            final List<WorkerInstance> selected =
                    fixture.selector.select(fixture.request(id, NOW), NOW);
            if (selected.contains(ready)) {
                assertThat(selected).containsExactly(ready);
            }
        }
        assertThat(fixture.selector.hasCapacity(ejected, fixture.request(1, NOW), NOW)).isFalse();
    }

    @Test
    void ignoresEjectionIfAllWorkersAreEjected() {
        fixture.ready(1, 0, 0).ejectUntil(NOW + SECOND);
        fixture.ready(2, 0, 0).ejectUntil(NOW + SECOND);
        assertThat(fixture.selector.select(fixture.request(1, NOW), NOW)).isNotEmpty();
    }

    @Test
    void staysWithinDeduplicationGroup() {
        final PolicyFixture keyed = PolicyFixture.of(Idempotency.KEYED, DeduplicationScope.CELL);
        final WorkerInstance first = keyed.ready(1, 0, 0);
        final WorkerInstance sameCell = keyed.ready(2, 0, 0);
        keyed.ready(3, 0, 1);
        final PendingRequest request = keyed.request(1, NOW);
        final AttemptRecord attempt = request.startAttempt(first, NOW);
        keyed.retries.markMayHaveRun(request, attempt);
        for (int i = 0; i < 50; i++) {
            assertThat(keyed.selector.select(request, NOW)).containsOnly(sameCell);
        }
    }

    @Test
    void selectsSameWorkersForSameSeed() {
        final List<List<Integer>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            final PolicyFixture each = PolicyFixture.ofSafeClass();
            for (int id = 0; id < 20; id++) {
                each.ready(id, id % 3, id % 4);
            }
            final List<Integer> selected = new ArrayList<>();
            for (int id = 0; id < 50; id++) {
                each.selector
                        .select(each.request(id, NOW), NOW)
                        .forEach(worker -> selected.add(worker.id()));
            }
            runs.add(selected);
        }
        assertThat(runs.get(0)).hasSizeGreaterThan(50).isEqualTo(runs.get(1));
    }
}
