package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Bounds the memory that a dispatcher holds for each worker, tenant and pending request, and checks
 * that it releases the memory of those that are gone.
 */
class ModuleMemoryScaleTest {

    private static final long SEED = 11;
    private static final int MAX_BYTES_PER_WORKER = 700;
    private static final int MAX_OBJECTS_PER_WORKER = 10;
    private static final int MAX_BYTES_PER_TENANT = 160;
    private static final int MAX_BYTES_PER_REQUEST = 450;
    private static final int MAX_OBJECTS_PER_REQUEST = 6;

    private static ScriptedHost host(int workers, int tenants) {
        final ScriptedHost host =
                new ScriptedHost(PlannedSize.settings(PlannedSize.DISPATCHERS, tenants), SEED);
        host.list(EndpointListForm.CACHED, PlannedSize.workers(workers));
        return host;
    }

    private static DeepSize size(ScriptedHost host) {
        return DeepSize.of(host.module, host);
    }

    @Test
    void boundsMemoryPerWorker() {
        final DeepSize tenth = size(host(PlannedSize.TENTH_OF_WORKERS, 0));
        final DeepSize all = size(host(PlannedSize.WORKERS, 0));
        final DeepSize twice = size(host(2 * PlannedSize.WORKERS, 0));
        final int more = PlannedSize.WORKERS - PlannedSize.TENTH_OF_WORKERS;
        final double bytes = (double) (all.bytes() - tenth.bytes()) / more;
        assertThat(bytes).as("bytes per worker").isBetween(100.0, (double) MAX_BYTES_PER_WORKER);
        assertThat((double) (all.objects() - tenth.objects()) / more)
                .as("objects per worker")
                .isLessThanOrEqualTo(MAX_OBJECTS_PER_WORKER);
        assertThat((double) (twice.bytes() - all.bytes()) / PlannedSize.WORKERS)
                .as("bytes per worker beyond the planned size")
                .isCloseTo(bytes, within(0.05 * bytes));
    }

    @Test
    void boundsMemoryPerTenant() {
        final long few = size(host(1, PlannedSize.TENANTS)).bytes();
        final long many = size(host(1, 10 * PlannedSize.TENANTS)).bytes();
        assertThat((double) (many - few) / (9 * PlannedSize.TENANTS))
                .as("bytes per tenant")
                .isBetween(20.0, (double) MAX_BYTES_PER_TENANT);
    }

    @Test
    void boundsMemoryPerOpenRequestAndReleasesItAtTheEnd() {
        final ScriptedHost host = host(PlannedSize.WORKERS, 0);
        final DeepSize idle = size(host);
        for (int i = 0; i < PlannedSize.RUNNING; i++) {
            host.request(PlannedSize.USUAL, 0);
        }
        final DeepSize full = size(host);
        assertThat(host.inFlight).as("attempts in flight").hasSize(PlannedSize.RUNNING);
        assertThat((double) (full.bytes() - idle.bytes()) / PlannedSize.RUNNING)
                .as("bytes per request")
                .isBetween(100.0, (double) MAX_BYTES_PER_REQUEST);
        assertThat((double) (full.objects() - idle.objects()) / PlannedSize.RUNNING)
                .as("objects per request")
                .isLessThanOrEqualTo(MAX_OBJECTS_PER_REQUEST);
        while (!host.inFlight.isEmpty()) {
            host.end(Outcome.SERVED);
        }
        assertThat(size(host).objects())
                .as("objects after the last request")
                .isEqualTo(idle.objects());
    }

    /**
     * As many replacements as in 60 days, with new start times and in the same places of the fleet.
     */
    @Test
    void holdsNothingOfReplacedWorkers() {
        final ScriptedHost host = host(PlannedSize.WORKERS, 0);
        final DeepSize before = size(host);
        final int replaced = 60 * 79;
        for (int id = 0; id < replaced; id++) {
            final int at = id % PlannedSize.WORKERS;
            host.list(
                    EndpointListForm.CHANGES, List.of(PlannedSize.worker(at, WorkerState.GONE, 0)));
            host.list(
                    EndpointListForm.CHANGES,
                    List.of(PlannedSize.worker(at, WorkerState.READY, host.nowUs)));
            host.nowUs += PlannedSize.SECOND_US;
        }
        assertThat(size(host).objects())
                .as("objects after %d replacements", replaced)
                .isEqualTo(before.objects());
        host.list(
                EndpointListForm.FULL,
                IntStream.range(0, PlannedSize.TENTH_OF_WORKERS)
                        .mapToObj(id -> PlannedSize.worker(id, WorkerState.READY, 0))
                        .toList());
        assertThat(size(host).bytes())
                .as("bytes with a tenth of the workers")
                .isLessThan(before.bytes() / 5);
    }
}
