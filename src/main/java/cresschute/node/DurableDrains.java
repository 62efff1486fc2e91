package cresschute.node;

import cresschute.control.Drain;
import cresschute.control.DrainOperation;
import cresschute.control.DrainRegistry;
import cresschute.control.DrainSnapshot;
import cresschute.control.FleetView;
import cresschute.control.OperationOutcome;
import cresschute.control.OperationResult;
import cresschute.control.files.NotDurableException;
import cresschute.control.files.SnapshotListener;
import cresschute.control.files.StateFolder;
import cresschute.dispatch.WorkerState;
import cresschute.logs.LogEvent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * The drains of a node, and the order in which a change of them takes effect. The order is this,
 * and it is written nowhere else:
 *
 * <ol>
 *   <li><b>In force.</b> The {@link DrainRegistry} is changed and the {@link DrainListener} is
 *       notified in the same turn of the loop: the dispatcher sends the worker nothing new from
 *       then on.
 *   <li><b>Stored.</b> A {@link DrainSnapshot} of the next generation is handed to the {@link
 *       StateFolder}, whose own thread writes it; the loop goes on meanwhile.
 *   <li><b>Acknowledged.</b> The operator gets the outcome once that snapshot is on the disk, or
 *       with the failure once it could not be written. The change stays in force either way.
 * </ol>
 *
 * An operation that changes nothing, as one that is sent again, is acknowledged after the newest
 * snapshot too: the first one may still be on its way to the disk. It is itself remembered, and
 * stored with the next change only. Without a state folder the second step is left out, and the
 * third follows at once.
 *
 * <p>Owned state: the registry, the state folder, and the acknowledgements that wait. Life: {@link
 * #open} once, which takes up what an earlier run stored; {@link #close} once. All of it is on the
 * loop, save {@link #open} and {@link #close}, which block.
 */
final class DurableDrains {

    private static final Logger LOG = System.getLogger("cresschute.control");

    private final DrainRegistry registry = new DrainRegistry();
    private final Executor loop;
    private final DrainListener listener;
    private final Deque<PendingAcknowledgement> pending = new ArrayDeque<>();
    private Optional<StateFolder> folder = Optional.empty();

    /** The generation of the newest snapshot that was handed to the folder. */
    private long generation;

    /** The generation of the newest snapshot that was written or failed. */
    private long finishedGeneration;

    private Optional<NotDurableException> lastFailure = Optional.empty();

    /** Is called once with the outcome of an operation. */
    interface Acknowledgement {

        /**
         * Reports the outcome.
         *
         * @param failure why the newest change could not be stored, if it could not; it is in force
         *     all the same
         */
        void acknowledge(OperationOutcome outcome, Optional<NotDurableException> failure);
    }

    private record PendingAcknowledgement(
            long generation, OperationOutcome outcome, Acknowledgement acknowledgement) {}

    /**
     * @param loop the node's loop, on which snapshots are reported as written
     * @param listener puts a change in force
     */
    DurableDrains(Executor loop, DrainListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    // ---- Start and stop ----

    /**
     * Opens the state folder and takes up the drains and operations stored there, also drains whose
     * end has come meanwhile, which the first {@link #expire} ends. Blocks, so not on the loop;
     * called before the first endpoint list.
     *
     * @throws IOException if the folder is in use or cannot be read
     */
    void open(Path path) throws IOException {
        final StateFolder opened = StateFolder.open(path);
        folder = Optional.of(opened);
        final DrainSnapshot stored = opened.load();
        generation = stored.generation();
        finishedGeneration = generation;
        registry.restore(stored.drains(), stored.completed());
        LogEvent.of(
                        "drains_restored",
                        "drains taken up from " + path + ": " + stored.drains().size())
                .with("count", stored.drains().size())
                .log(LOG, Level.INFO);
    }

    /** Closes the state folder once all snapshots are written. Blocks, so not on the loop. */
    void close() {
        folder.ifPresent(StateFolder::close);
    }

    // ---- Changes ----

    /**
     * Applies an operation, in the order of the class comment.
     *
     * @param fleet what a drain is judged by
     * @param nowUs Unix time, us
     * @param acknowledgement is called once, perhaps before this returns
     */
    void apply(
            DrainOperation operation,
            FleetView fleet,
            long nowUs,
            Acknowledgement acknowledgement) {
        final boolean isRepeated = registry.isCompleted(operation.id());
        final OperationOutcome outcome = registry.apply(operation, fleet, nowUs);
        if (outcome.result() == OperationResult.APPLIED && !isRepeated) {
            listener.drainChanged(operation);
            store();
        }
        acknowledgeWhenStored(outcome, acknowledgement);
    }

    /**
     * Ends the drains whose end has come, in the order of the class comment; nobody waits for an
     * acknowledgement.
     *
     * @param nowUs Unix time, us
     */
    void expire(long nowUs) {
        final List<String> expired = registry.expire(nowUs);
        if (!expired.isEmpty()) {
            listener.drainsExpired(expired);
            store();
        }
    }

    private void store() {
        if (folder.isEmpty()) {
            return;
        }
        final long snapshotGeneration = ++generation;
        folder.get()
                .store(
                        new DrainSnapshot(
                                snapshotGeneration, registry.inForce(), registry.completed()),
                        loop,
                        new SnapshotListener() {
                            @Override
                            public void stored() {
                                snapshotFinished(snapshotGeneration, Optional.empty());
                            }

                            @Override
                            public void notDurable(NotDurableException failure) {
                                LogEvent.of(
                                                "snapshot_failed",
                                                "drains could not be kept: " + failure.getCause())
                                        .with("detail", failure.getCause())
                                        .log(LOG, Level.ERROR);
                                snapshotFinished(snapshotGeneration, Optional.of(failure));
                            }
                        });
    }

    private void acknowledgeWhenStored(OperationOutcome outcome, Acknowledgement acknowledgement) {
        if (finishedGeneration >= generation) {
            acknowledgement.acknowledge(outcome, lastFailure);
        } else {
            pending.addLast(new PendingAcknowledgement(generation, outcome, acknowledgement));
        }
    }

    private void snapshotFinished(long snapshotGeneration, Optional<NotDurableException> failure) {
        finishedGeneration = snapshotGeneration;
        lastFailure = failure;
        while (!pending.isEmpty() && pending.peekFirst().generation() <= snapshotGeneration) {
            final PendingAcknowledgement next = pending.pollFirst();
            next.acknowledgement().acknowledge(next.outcome(), failure);
        }
    }

    // ---- The drains in force ----

    /** Whether changes are stored, so that a restart takes them up. */
    boolean hasStateFolder() {
        return folder.isPresent();
    }

    /** The state of a worker for the dispatcher: see {@link DrainRegistry#effectiveState}. */
    WorkerState effectiveState(String worker, WorkerState listed) {
        return registry.effectiveState(worker, listed);
    }

    /** The drain of a worker, if it has one. */
    Optional<Drain> drainOf(String worker) {
        return registry.drainOf(worker);
    }
}
