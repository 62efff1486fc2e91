package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.control.ClassPlacement;
import cresschute.control.Drain;
import cresschute.control.DrainOperation;
import cresschute.control.DrainRegistry;
import cresschute.control.FleetView;
import cresschute.control.ListedWorker;
import cresschute.control.OperationResult;
import cresschute.control.files.StateFolder;
import cresschute.dispatch.Placement;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the order in which a change takes effect: in force, stored, acknowledged. */
@Timeout(30)
class DurableDrainsTest {

    private static final long NOW_US = 1_000_000;
    private static final FleetView FLEET =
            new FleetView(
                    List.of(worker("w1", 0), worker("w2", 1)),
                    List.of(new ClassPlacement("file", Placement.ANYWHERE)),
                    Set.of());

    @TempDir private Path folder;

    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final List<String> steps = new ArrayList<>();
    private DurableDrains drains = new DurableDrains(loop::add, new RecordingListener());

    private final class RecordingListener implements DrainListener {

        @Override
        public void drainChanged(DrainOperation operation) {
            step("changed " + operation.worker());
        }

        @Override
        public void drainsExpired(List<String> workers) {
            step("expired " + workers);
        }

        private void step(String change) {
            steps.add(
                    change
                            + ", w1 "
                            + drains.effectiveState("w1", WorkerState.READY)
                            + (isStored() ? ", stored" : ", not stored"));
        }
    }

    private static ListedWorker worker(String name, int id) {
        return new ListedWorker(name, new Worker(id, 0, 0, 0, WorkerState.READY, 1, 0));
    }

    private static DrainOperation drain(String id, String worker) {
        return new DrainOperation(id, true, worker, DrainRegistry.NO_END_US, "ann", "disk", false);
    }

    /** Whether the file of the first snapshot, generation 1, exists. */
    private boolean isStored() {
        return Files.exists(folder.resolve("drains.1"));
    }

    private void apply(DrainOperation operation) {
        drains.apply(
                operation,
                FLEET,
                NOW_US,
                (outcome, failure) ->
                        steps.add(
                                "acknowledged "
                                        + operation.id()
                                        + " "
                                        + outcome.result()
                                        + (failure.isPresent() ? ", not durable" : "")
                                        + (isStored() ? ", stored" : ", not stored")));
    }

    private void runOnLoop(int tasks) throws InterruptedException {
        for (int i = 0; i < tasks; i++) {
            loop.poll(8, TimeUnit.SECONDS).run();
        }
    }

    private List<Drain> storedDrains() throws IOException {
        try (StateFolder state = StateFolder.open(folder)) {
            return state.load().drains();
        }
    }

    @Test
    void appliesThenStoresThenAcknowledgesChange() throws Exception {
        drains.open(folder);
        apply(drain("o1", "w1"));
        assertThat(steps).containsExactly("changed w1, w1 DRAINING, not stored");
        runOnLoop(1);
        assertThat(steps)
                .containsExactly(
                        "changed w1, w1 DRAINING, not stored", "acknowledged o1 APPLIED, stored");
        drains.close();
        assertThat(storedDrains())
                .containsExactly(new Drain("w1", NOW_US, DrainRegistry.NO_END_US, "ann", "disk"));
    }

    @Test
    void acknowledgesRepeatedOperationAfterFirstIsStored() throws Exception {
        drains.open(folder);
        apply(drain("o1", "w1"));
        apply(drain("o1", "w1"));
        apply(drain("o2", "w1"));
        assertThat(steps).hasSize(1);
        runOnLoop(1);
        assertThat(steps)
                .containsExactly(
                        "changed w1, w1 DRAINING, not stored",
                        "acknowledged o1 APPLIED, stored",
                        "acknowledged o1 APPLIED, stored",
                        "acknowledged o2 UNCHANGED, stored");
        assertThat(loop).isEmpty();
        drains.close();
    }

    @Test
    void keepsChangeInForceAndReportsFailureWhenStoringFails() throws Exception {
        drains.open(folder);
        // A folder in place of the temporary file makes the write fail, even for root.
        Files.createDirectory(folder.resolve("drains.new"));
        apply(drain("o1", "w1"));
        runOnLoop(1);
        assertThat(steps)
                .containsExactly(
                        "changed w1, w1 DRAINING, not stored",
                        "acknowledged o1 APPLIED, not durable, not stored");
        assertThat(drains.effectiveState("w1", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
        Files.delete(folder.resolve("drains.new"));
        steps.clear();
        apply(new DrainOperation("o2", true, "w2", 5, "ann", "", true));
        runOnLoop(1);
        assertThat(steps)
                .containsExactly(
                        "changed w2, w1 DRAINING, not stored",
                        "acknowledged o2 APPLIED, not stored");
        drains.close();
        // The next snapshot, generation 2, contains both drains.
        assertThat(storedDrains()).extracting(Drain::worker).containsExactly("w1", "w2");
    }

    @Test
    void acknowledgesImmediatelyWithoutStateFolder() {
        apply(drain("o1", "w1"));
        assertThat(steps)
                .containsExactly(
                        "changed w1, w1 DRAINING, not stored",
                        "acknowledged o1 APPLIED, not stored");
        assertThat(drains.hasStateFolder()).isFalse();
        assertThat(loop).isEmpty();
    }

    @Test
    void rejectedOperationChangesAndStoresNothing() throws Exception {
        drains.open(folder);
        apply(drain("o1", "w9"));
        assertThat(steps)
                .containsExactly("acknowledged o1 " + OperationResult.REJECTED + ", not stored");
        assertThat(loop).isEmpty();
        drains.close();
    }

    @Test
    void appliesAndStoresExpiry() throws Exception {
        drains.open(folder);
        apply(new DrainOperation("o1", true, "w1", 5, "ann", "", false));
        runOnLoop(1);
        steps.clear();
        drains.expire(NOW_US + 4);
        assertThat(steps).isEmpty();
        drains.expire(NOW_US + 5);
        assertThat(steps).containsExactly("expired [w1], w1 READY, stored");
        runOnLoop(1);
        drains.close();
        assertThat(storedDrains()).isEmpty();
    }

    @Test
    void restoresDrainsAndOperationsAfterRestart() throws Exception {
        drains.open(folder);
        apply(drain("o1", "w1"));
        runOnLoop(1);
        drains.close();
        steps.clear();
        drains = new DurableDrains(loop::add, new RecordingListener());
        drains.open(folder);
        assertThat(drains.drainOf("w1")).isPresent();
        assertThat(drains.effectiveState("w1", WorkerState.READY)).isEqualTo(WorkerState.DRAINING);
        apply(drain("o1", "w1"));
        assertThat(steps).containsExactly("acknowledged o1 APPLIED, stored");
        drains.close();
    }
}
