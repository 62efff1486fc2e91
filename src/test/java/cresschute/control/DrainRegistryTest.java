package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.control.DrainRegistry.ClassBound;
import cresschute.control.DrainRegistry.Kind;
import cresschute.control.DrainRegistry.Listed;
import cresschute.control.DrainRegistry.Operation;
import cresschute.control.DrainRegistry.Outcome;
import cresschute.control.DrainRegistry.Site;
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
    private static final Site SITE =
            new Site(
                    List.of(worker("a", 0, 1), worker("b", 0, 1), worker("c", 1, 2)),
                    List.of(
                            new ClassBound("any", Placement.ANYWHERE),
                            new ClassBound("big", new Placement(null, List.of(1)))),
                    Set.of());

    private final DrainRegistry drains = new DrainRegistry();

    private static Listed worker(String name, int kind, int cell) {
        return new Listed(name, new Worker(name.charAt(0), 0, kind, cell, WorkerState.READY, 1, 0));
    }

    private static Operation drain(String id, String worker) {
        return new Operation(id, true, worker, DrainRegistry.FOREVER, "ann", "disk", false);
    }

    private static Operation undo(String id, String worker) {
        return new Operation(id, false, worker, DrainRegistry.FOREVER, "ann", "", false);
    }

    @Test
    void overlayMakesAStateWorseAndNeverBetter() {
        assertThat(drains.apply(drain("1", "a"), SITE, 0).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.over("a", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
        assertThat(drains.over("a", WorkerState.DRAINING)).isEqualTo(WorkerState.DRAINING);
        assertThat(drains.over("a", WorkerState.GONE)).isEqualTo(WorkerState.GONE);
        assertThat(drains.over("b", WorkerState.READY)).isEqualTo(WorkerState.READY);
        assertThat(drains.apply(undo("2", "a"), SITE, 0).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.over("a", WorkerState.DRAINING)).isEqualTo(WorkerState.DRAINING);
        assertThat(drains.over("a", WorkerState.READY)).isEqualTo(WorkerState.READY);
    }

    /**
     * A console that was cut off sends its operation again; meanwhile another one has undone it.
     */
    @Test
    void operationSentAgainDoesNothing() {
        final Outcome first = drains.apply(drain("1", "a"), SITE, 0);
        drains.apply(undo("2", "a"), SITE, 1);
        assertThat(drains.apply(drain("1", "a"), SITE, 2)).isEqualTo(first);
        assertThat(drains.inForce()).isEmpty();
        assertThat(drains.apply(drain("1", "b"), SITE, 3))
                .isEqualTo(new Outcome(Kind.REFUSED, "operation 1 was another one before"));
    }

    @Test
    void secondConsoleHearsWhoDrained() {
        drains.apply(drain("1", "a"), SITE, 5);
        assertThat(drains.apply(new Operation("2", true, "a", S, "bob", "", false), SITE, 9))
                .isEqualTo(new Outcome(Kind.ALREADY, "drained by ann: disk"));
        assertThat(drains.inForce())
                .containsExactly(
                        new DrainRegistry.Drain("a", 5, DrainRegistry.FOREVER, "ann", "disk"));
        assertThat(drains.apply(undo("3", "b"), SITE, 9))
                .isEqualTo(new Outcome(Kind.ALREADY, "not drained by an operator"));
    }

    @Test
    void lastWorkerOfAClassIsKeptUnlessForced() {
        assertThat(drains.apply(drain("1", "c"), SITE, 0))
                .isEqualTo(new Outcome(Kind.REFUSED, "c is the last worker that may run big"));
        assertThat(drains.apply(drain("2", "a"), SITE, 0).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.apply(new Operation("3", true, "c", S, "ann", "", true), SITE, 0).kind())
                .isEqualTo(Kind.DONE);
        // What drains already does not count as left.
        assertThat(drains.apply(drain("4", "b"), SITE, 0))
                .isEqualTo(new Outcome(Kind.REFUSED, "b is the last worker that may run any"));
    }

    @Test
    void lastOfABoundCellIsKept() {
        final Site bound = new Site(SITE.workers(), List.of(), Set.of(1));
        assertThat(drains.apply(drain("1", "a"), bound, 0).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.apply(drain("2", "b"), bound, 0))
                .isEqualTo(
                        new Outcome(
                                Kind.REFUSED, "b is the last of cell 1, where keyed jobs are out"));
        assertThat(drains.apply(drain("3", "c"), bound, 0).kind()).isEqualTo(Kind.DONE);
    }

    /**
     * One that is restarting and not on the list can be drained by force, and is when it is back.
     */
    @Test
    void unknownWorkerNeedsForce() {
        assertThat(drains.apply(drain("1", "x"), SITE, 0))
                .isEqualTo(new Outcome(Kind.REFUSED, "no worker is called x"));
        drains.apply(new Operation("2", true, "x", S, "ann", "", true), SITE, 0);
        assertThat(drains.over("x", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
    }

    @Test
    void drainsEndWhenTheirTimeIsUp() {
        drains.apply(new Operation("1", true, "a", 3 * S, "ann", "", false), SITE, S);
        assertThat(drains.nextEndUs()).isEqualTo(4 * S);
        assertThat(drains.expire(4 * S - 1)).isEmpty();
        assertThat(drains.expire(4 * S)).containsExactly("a");
        assertThat(drains.nextEndUs()).isEqualTo(DrainRegistry.FOREVER);
        drains.apply(
                new Operation("2", true, "a", DrainRegistry.FOREVER - 1, "ann", "", false),
                SITE,
                S);
        assertThat(drains.nextEndUs()).isEqualTo(DrainRegistry.FOREVER);
        assertThatThrownBy(() -> new Operation("3", true, "a", 0, "ann", "", false))
                .hasMessage("a drain lasts longer than no time");
    }

    @Test
    void memoryOfOperationsIsBounded() {
        for (int i = 0; i <= DrainRegistry.MAX_REMEMBERED; i++) {
            drains.apply(undo("u" + i, "a"), SITE, 0);
        }
        // The oldest is forgotten: under its id another operation is a new one.
        assertThat(drains.apply(drain("u0", "a"), SITE, 0).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.apply(drain("u2", "b"), SITE, 0).kind()).isEqualTo(Kind.REFUSED);
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
            final Operation operation =
                    new Operation(
                            "o" + step, start, worker, forUs, "ann", "", random.nextInt(4) == 0);
            model.values().removeIf(untilUs -> untilUs <= nowUs);
            tested.expire(nowUs);
            final int copies = 1 + random.nextInt(3);
            Outcome first = null;
            for (int copy = 0; copy < copies; copy++) {
                final Outcome outcome = tested.apply(operation, SITE, nowUs);
                first = first == null ? outcome : first;
                assertThat(outcome).isEqualTo(first);
            }
            if (heard.add(operation.id()) && first.kind() == Kind.DONE) {
                if (start) {
                    model.put(worker, nowUs + forUs);
                } else {
                    model.remove(worker);
                }
                if (start && !operation.forced()) {
                    assertThat(worker).isNotEqualTo("c");
                    assertThat(model).hasSizeLessThan(3);
                }
            }
            if (random.nextInt(10) == 0) {
                final DrainRegistry restarted = new DrainRegistry();
                restarted.restore(tested.inForce());
                tested = restarted;
            }
            for (final Listed each : SITE.workers()) {
                assertThat(tested.over(each.name(), WorkerState.READY))
                        .isEqualTo(
                                model.containsKey(each.name())
                                        ? WorkerState.DRAINING
                                        : WorkerState.READY);
            }
        }
    }
}
