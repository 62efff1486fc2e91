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

/** The operator's overlay: operations once, refusals with reasons, and a plain model beside it. */
class DrainRegistryTest {

    private static final long S = 1_000_000;
    private static final FleetView SITE =
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

    private static DrainOperation undo(String id, String worker) {
        return new DrainOperation(id, false, worker, DrainRegistry.NO_END_US, "ann", "", false);
    }

    @Test
    void overlayMakesAStateWorseAndNeverBetter() {
        assertThat(drains.apply(drain("1", "a"), SITE, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.effectiveState("a", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
        assertThat(drains.effectiveState("a", WorkerState.DRAINING))
                .isEqualTo(WorkerState.DRAINING);
        assertThat(drains.effectiveState("a", WorkerState.GONE)).isEqualTo(WorkerState.GONE);
        assertThat(drains.effectiveState("b", WorkerState.READY)).isEqualTo(WorkerState.READY);
        assertThat(drains.apply(undo("2", "a"), SITE, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.effectiveState("a", WorkerState.DRAINING))
                .isEqualTo(WorkerState.DRAINING);
        assertThat(drains.effectiveState("a", WorkerState.READY)).isEqualTo(WorkerState.READY);
    }

    /**
     * A console that was cut off sends its operation again; meanwhile another one has undone it.
     */
    @Test
    void operationSentAgainDoesNothing() {
        final OperationOutcome first = drains.apply(drain("1", "a"), SITE, 0);
        drains.apply(undo("2", "a"), SITE, 1);
        assertThat(drains.apply(drain("1", "a"), SITE, 2)).isEqualTo(first);
        assertThat(drains.inForce()).isEmpty();
        assertThat(drains.apply(drain("1", "b"), SITE, 3))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED,
                                "operation \"1\" was sent before with other contents"));
    }

    @Test
    void secondConsoleHearsWhoDrained() {
        drains.apply(drain("1", "a"), SITE, 5);
        assertThat(drains.apply(new DrainOperation("2", true, "a", S, "bob", "", false), SITE, 9))
                .isEqualTo(new OperationOutcome(OperationResult.UNCHANGED, "drained by ann: disk"));
        assertThat(drains.inForce())
                .containsExactly(new Drain("a", 5, DrainRegistry.NO_END_US, "ann", "disk"));
        assertThat(drains.apply(undo("3", "b"), SITE, 9))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.UNCHANGED, "not drained by an operator"));
    }

    @Test
    void lastWorkerOfAClassIsKeptUnlessForced() {
        assertThat(drains.apply(drain("1", "c"), SITE, 0))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED, "c is the last worker that may run big"));
        assertThat(drains.apply(drain("2", "a"), SITE, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(
                        drains.apply(
                                        new DrainOperation("3", true, "c", S, "ann", "", true),
                                        SITE,
                                        0)
                                .result())
                .isEqualTo(OperationResult.APPLIED);
        // What drains already does not count as left.
        assertThat(drains.apply(drain("4", "b"), SITE, 0))
                .isEqualTo(
                        new OperationOutcome(
                                OperationResult.REJECTED, "b is the last worker that may run any"));
    }

    @Test
    void lastOfABoundCellIsKept() {
        final FleetView bound = new FleetView(SITE.workers(), List.of(), Set.of(1));
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
     * One that is restarting and not on the list can be drained by force, and is when it is back.
     */
    @Test
    void unknownWorkerNeedsForce() {
        assertThat(drains.apply(drain("1", "x"), SITE, 0))
                .isEqualTo(new OperationOutcome(OperationResult.REJECTED, "no worker is called x"));
        drains.apply(new DrainOperation("2", true, "x", S, "ann", "", true), SITE, 0);
        assertThat(drains.effectiveState("x", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
    }

    @Test
    void drainsEndWhenTheirTimeIsUp() {
        drains.apply(new DrainOperation("1", true, "a", 3 * S, "ann", "", false), SITE, S);
        assertThat(drains.nextEndUs()).isEqualTo(4 * S);
        assertThat(drains.expire(4 * S - 1)).isEmpty();
        assertThat(drains.expire(4 * S)).containsExactly("a");
        assertThat(drains.nextEndUs()).isEqualTo(DrainRegistry.NO_END_US);
        drains.apply(
                new DrainOperation("2", true, "a", DrainRegistry.NO_END_US - 1, "ann", "", false),
                SITE,
                S);
        assertThat(drains.nextEndUs()).isEqualTo(DrainRegistry.NO_END_US);
        assertThatThrownBy(() -> new DrainOperation("3", true, "a", 0, "ann", "", false))
                .hasMessage("a drain lasts longer than no time");
    }

    @Test
    void memoryOfOperationsIsBounded() {
        for (int i = 0; i <= DrainRegistry.MAX_COMPLETED; i++) {
            drains.apply(undo("u" + i, "a"), SITE, 0);
        }
        // The oldest is forgotten: under its id another operation is a new one.
        assertThat(drains.apply(drain("u0", "a"), SITE, 0).result())
                .isEqualTo(OperationResult.APPLIED);
        assertThat(drains.apply(drain("u2", "b"), SITE, 0).result())
                .isEqualTo(OperationResult.REJECTED);
    }

    /**
     * Against a plain model, operations sent up to three times and a restart from a snapshot in
     * between: a worker drains exactly while the model says so, and a class with a worker left
     * never loses its last one unforced.
     */
    @Property(tries = 300, seed = "81")
    void agreesWithAPlainModel(@ForAll Random random) {
        DrainRegistry tested = new DrainRegistry();
        final Map<String, Long> model = new HashMap<>();
        final Set<String> heard = new HashSet<>();
        for (int step = 0; step < 60; step++) {
            final long nowUs = step * S;
            final String worker = List.of("a", "b", "c").get(random.nextInt(3));
            final boolean start = random.nextInt(3) > 0;
            final long forUs = (1 + random.nextInt(20)) * S;
            final DrainOperation operation =
                    new DrainOperation(
                            "o" + step, start, worker, forUs, "ann", "", random.nextInt(4) == 0);
            model.values().removeIf(untilUs -> untilUs <= nowUs);
            tested.expire(nowUs);
            final int copies = 1 + random.nextInt(3);
            OperationOutcome first = null;
            for (int copy = 0; copy < copies; copy++) {
                final OperationOutcome outcome = tested.apply(operation, SITE, nowUs);
                first = first == null ? outcome : first;
                assertThat(outcome).isEqualTo(first);
            }
            if (heard.add(operation.id()) && first.result() == OperationResult.APPLIED) {
                if (start) {
                    model.put(worker, nowUs + forUs);
                } else {
                    model.remove(worker);
                }
                if (start && !operation.isForced()) {
                    assertThat(worker).isNotEqualTo("c");
                    assertThat(model).hasSizeLessThan(3);
                }
            }
            if (random.nextInt(10) == 0) {
                final DrainRegistry restarted = new DrainRegistry();
                restarted.restore(tested.inForce());
                tested = restarted;
            }
            for (final ListedWorker each : SITE.workers()) {
                assertThat(tested.effectiveState(each.name(), WorkerState.READY))
                        .isEqualTo(
                                model.containsKey(each.name())
                                        ? WorkerState.DRAINING
                                        : WorkerState.READY);
            }
        }
    }
}
