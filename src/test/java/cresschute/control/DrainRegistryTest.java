package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.dispatch.Placement;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests that operations are applied once, that rejections state their reason, and that drains match
 * a reference model.
 */
class DrainRegistryTest {

    private static final long S = 1_000_000;
    private static final FleetView FLEET =
            new FleetView(
                    List.of(worker("a", 0, 1), worker("b", 0, 1), worker("c", 1, 2)),
                    List.of(
                            new ClassPlacement("any", Placement.ANYWHERE),
                            new ClassPlacement("big", new Placement(null, List.of(1)))),
                    Set.of());

    private final DrainRegistry drains = new DrainRegistry();

    private static ListedWorker worker(String name, int kind, int cell) {
        return new ListedWorker(
                name, new Worker(name.charAt(0), 0, kind, cell, WorkerState.READY, 1, 0));
    }

    private static DrainOperation drain(String id, String worker) {
        return new DrainOperation(id, true, worker, DrainRegistry.NO_END_US, "ann", "disk", false);
    }

    private static DrainOperation undrain(String id, String worker) {
        return new DrainOperation(id, false, worker, DrainRegistry.NO_END_US, "ann", "", false);
    }

    @Test
    void drainNeverImprovesTheListedState() {
        assertThat(drains.apply(drain("1", "a"), FLEET, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.effectiveState("a", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
        assertThat(drains.effectiveState("a", WorkerState.DRAINING))
                .isEqualTo(WorkerState.DRAINING);
        assertThat(drains.effectiveState("a", WorkerState.GONE)).isEqualTo(WorkerState.GONE);
        assertThat(drains.effectiveState("b", WorkerState.READY)).isEqualTo(WorkerState.READY);
        assertThat(drains.apply(undrain("2", "a"), FLEET, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.effectiveState("a", WorkerState.DRAINING))
                .isEqualTo(WorkerState.DRAINING);
        assertThat(drains.effectiveState("a", WorkerState.READY)).isEqualTo(WorkerState.READY);
    }

    /**
     * Guards against a repeated drain: a console that lost its connection sends a drain again after
     * another console has ended that drain.
     */
    @Test
    void repeatedOperationHasNoSecondEffect() {
        final OperationOutcome first = drains.apply(drain("1", "a"), FLEET, 0);
        drains.apply(undrain("2", "a"), FLEET, 1);
        assertThat(drains.apply(drain("1", "a"), FLEET, 2)).isEqualTo(first);
        assertThat(drains.inForce()).isEmpty();
        assertThat(drains.apply(drain("1", "b"), FLEET, 3))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED,
                                "operation \"1\" was sent before with other contents"));
    }

    @Test
    void repeatedDrainNamesTheFirstOperator() {
        drains.apply(drain("1", "a"), FLEET, 5);
        assertThat(drains.apply(new DrainOperation("2", true, "a", S, "bob", "", false), FLEET, 9))
                .isEqualTo(new OperationOutcome(OperationResult.UNCHANGED, "drained by ann: disk"));
        assertThat(drains.inForce())
                .containsExactly(new Drain("a", 5, DrainRegistry.NO_END_US, "ann", "disk"));
        assertThat(drains.apply(undrain("3", "b"), FLEET, 9))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.UNCHANGED, "not drained by an operator"));
    }

    @Test
    void rejectsUnforcedDrainOfLastWorkerOfAClass() {
        assertThat(drains.apply(drain("1", "c"), FLEET, 0))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED, "c is the last worker that may run big"));
        assertThat(drains.apply(drain("2", "a"), FLEET, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(
                        drains.apply(
                                        new DrainOperation("3", true, "c", S, "ann", "", true),
                                        FLEET,
                                        0)
                                .result())
                .isEqualTo(OperationResult.APPLIED);
        // Drained workers do not count as remaining workers.
        assertThat(drains.apply(drain("4", "b"), FLEET, 0))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED, "b is the last worker that may run any"));
    }

    @Test
    void rejectsDrainOfLastWorkerOfABoundCell() {
        final FleetView bound = new FleetView(FLEET.workers(), List.of(), Set.of(1));
        assertThat(drains.apply(drain("1", "a"), bound, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.apply(drain("2", "b"), bound, 0))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED,
                                "b is the last of cell 1, where keyed jobs are out"));
        assertThat(drains.apply(drain("3", "c"), bound, 0).result())
                .isEqualTo(OperationResult.APPLIED);
    }

    /**
     * A drain of a worker that the endpoint list does not name is rejected unless it is forced. A
     * forced one is in force when the worker is listed, for example after its restart.
     */
    @Test
    void rejectsUnforcedDrainOfUnknownWorker() {
        assertThat(drains.apply(drain("1", "x"), FLEET, 0))
                .isEqualTo(new OperationOutcome(OperationResult.REJECTED, "no worker is called x"));
        drains.apply(new DrainOperation("2", true, "x", S, "ann", "", true), FLEET, 0);
        assertThat(drains.effectiveState("x", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
    }

    @Test
    void drainsExpireAtTheirEnd() {
        drains.apply(new DrainOperation("1", true, "a", 3 * S, "ann", "", false), FLEET, S);
        assertThat(drains.nextEndUs()).isEqualTo(4 * S);
        assertThat(drains.expire(4 * S - 1)).isEmpty();
        assertThat(drains.expire(4 * S)).containsExactly("a");
        assertThat(drains.nextEndUs()).isEqualTo(DrainRegistry.NO_END_US);
        drains.apply(
                new DrainOperation("2", true, "a", DrainRegistry.NO_END_US - 1, "ann", "", false),
                FLEET,
                S);
        assertThat(drains.nextEndUs()).isEqualTo(DrainRegistry.NO_END_US);
        assertThatThrownBy(() -> new DrainOperation("3", true, "a", 0, "ann", "", false))
                .hasMessage("a drain lasts longer than no time");
    }

    @Test
    void rejectsDrainsOverTheLimit() {
        for (int i = 0; i < DrainRegistry.MAX_DRAINS; i++) {
            drains.apply(new DrainOperation("o" + i, true, "w" + i, S, "ann", "", true), FLEET, 0);
        }
        final DrainRejection limit = new DrainRejection.DrainLimitReached(DrainRegistry.MAX_DRAINS);
        assertThat(drains.apply(new DrainOperation("x", true, "a", S, "ann", "", true), FLEET, 0))
                .isEqualTo(OperationOutcome.rejected(limit));
        assertThat(limit.message())
                .isEqualTo("10000 drains are in force, the limit; undo one first");
    }

    @Test
    void forgetsTheOldestOperationOverTheLimit() {
        for (int i = 0; i <= DrainRegistry.MAX_COMPLETED; i++) {
            drains.apply(undrain("u" + i, "a"), FLEET, 0);
        }
        // The oldest operation was dropped: another operation with its id is applied as a new one.
        assertThat(drains.apply(drain("u0", "a"), FLEET, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.apply(drain("u2", "b"), FLEET, 0).result())
                .isEqualTo(OperationResult.REJECTED);
    }

    /**
     * Compares the registry with a reference model, with operations that are sent up to three times
     * and restarts from a snapshot. A worker is drained exactly when the model says so, and an
     * unforced drain never takes the last worker of a class.
     */
    @Property(tries = 300, seed = "81")
    void matchesReferenceModel(@ForAll Random random) {
        DrainRegistry tested = new DrainRegistry();
        final Map<String, Long> model = new HashMap<>();
        final Set<String> applied = new HashSet<>();
        for (int step = 0; step < 60; step++) {
            final long nowUs = step * S;
            final String worker = List.of("a", "b", "c").get(random.nextInt(3));
            final boolean isDrain = random.nextInt(3) > 0;
            final long durationUs = (1 + random.nextInt(20)) * S;
            final DrainOperation operation =
                    new DrainOperation(
                            "o" + step,
                            isDrain,
                            worker,
                            durationUs,
                            "ann",
                            "",
                            random.nextInt(4) == 0);
            model.values().removeIf(endsAtUs -> endsAtUs <= nowUs);
            tested.expire(nowUs);
            final int sends = 1 + random.nextInt(3);
            OperationOutcome first = null;
            for (int send = 0; send < sends; send++) {
                final OperationOutcome outcome = tested.apply(operation, FLEET, nowUs);
                first = first == null ? outcome : first;
                assertThat(outcome).isEqualTo(first);
            }
            if (applied.add(operation.id()) && first.result() == OperationResult.APPLIED) {
                if (isDrain) {
                    model.put(worker, nowUs + durationUs);
                } else {
                    model.remove(worker);
                }
                if (isDrain && !operation.isForced()) {
                    assertThat(worker).isNotEqualTo("c");
                    assertThat(model).hasSizeLessThan(3);
                }
            }
            if (random.nextInt(10) == 0) {
                final DrainRegistry restarted = new DrainRegistry();
                restarted.restore(tested.inForce());
                tested = restarted;
            }
            for (final ListedWorker each : FLEET.workers()) {
                assertThat(tested.effectiveState(each.name(), WorkerState.READY))
                        .isEqualTo(
                                model.containsKey(each.name())
                                        ? WorkerState.DRAINING
                                        : WorkerState.READY);
            }
        }
    }
}
