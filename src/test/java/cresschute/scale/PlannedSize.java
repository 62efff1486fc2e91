package cresschute.scale;

import cresschute.dispatch.AttemptLimits;
import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.ObjectiveWeights;
import cresschute.dispatch.Placement;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.SlowStartSettings;
import cresschute.dispatch.Tenant;
import cresschute.dispatch.WeightSource;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The planned size of a deployment, with settings and worker lists of that size and of fractions of
 * it.
 */
final class PlannedSize {

    static final long SECOND_US = 1_000_000;
    static final int WORKERS = 1_400;
    static final int TENTH_OF_WORKERS = 140;
    static final int RUNNING = 9_100;
    static final int STARTS_PER_S = 300;
    static final int GANG = 128;
    static final int TENANTS = 54;
    static final int DISPATCHERS = 7;
    static final int ZONES = 7;
    static final int FIRST_ZONE_OF_SECOND_REGION = 4;
    static final int WORKERS_A_CELL = 20;
    static final long MEAN_RUN_US = 30 * SECOND_US;

    /** Class numbers of urgent requests, usual requests, and requests that must not run twice. */
    static final int URGENT = 0;

    static final int USUAL = 1;
    static final int ONCE = 2;
    static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(
                            10,
                            5_400_000,
                            1.3,
                            300 * SECOND_US,
                            Idempotency.SAFE,
                            DeduplicationScope.ALL,
                            0,
                            Placement.ANYWHERE),
                    new RequestClass(
                            2,
                            30 * SECOND_US,
                            2,
                            300 * SECOND_US,
                            Idempotency.SAFE,
                            DeduplicationScope.ALL,
                            0,
                            Placement.ANYWHERE),
                    new RequestClass(
                            2,
                            30 * SECOND_US,
                            2,
                            300 * SECOND_US,
                            Idempotency.UNSAFE,
                            DeduplicationScope.ALL,
                            0,
                            Placement.ANYWHERE));

    private PlannedSize() {}

    static DispatchSettings settings(int dispatchers, int tenants) {
        return settings(dispatchers, tenants, CLASSES, true);
    }

    static DispatchSettings settings(
            int dispatchers, int tenants, List<RequestClass> classes, boolean listIsAsked) {
        final List<Tenant> stated =
                IntStream.range(0, tenants)
                        .mapToObj(i -> new Tenant("tenant-" + i, (double) STARTS_PER_S / TENANTS))
                        .toList();
        return new DispatchSettings(
                dispatchers,
                0,
                ZONES,
                2,
                classes,
                stated,
                0.3,
                false,
                new AttemptLimits(5, 2 * SECOND_US, true),
                new SlowStartSettings(0.3, 20 * SECOND_US, 3, SECOND_US),
                new ObjectiveWeights(0.65, 0.15, 0.2, 0),
                listIsAsked,
                6 * SECOND_US,
                WeightSource.NOMINAL,
                true,
                true,
                SECOND_US,
                0,
                true,
                false,
                0,
                false,
                DispatchSettings.UNLIMITED);
    }

    static List<Worker> workers(int count) {
        return IntStream.range(0, count).mapToObj(id -> worker(id, WorkerState.READY, 0)).toList();
    }

    static Worker worker(int id, WorkerState state, long startedAtUs) {
        return new Worker(id, id % ZONES, id % 2, id / WORKERS_A_CELL, state, 1, startedAtUs);
    }
}
