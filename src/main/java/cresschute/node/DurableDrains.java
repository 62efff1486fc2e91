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
 * The drains of a node. This class alone defines the order in which a change takes effect:
 *
 * <ol>
 *   <li><b>In force.</b> The {@link DrainRegistry} is changed and the {@link DrainListener} is
 *       notified in the same turn of the event loop. The dispatcher gets the workers' new states in
 *       its next turn; from then on it sends a drained worker no new requests.
 *   <li><b>Stored.</b> A {@link DrainSnapshot} of the next generation is handed to the {@link
 *       StateFolder}, whose own thread writes it without blocking the event loop.
 *   <li><b>Acknowledged.</b> The operator gets the outcome once that snapshot is on disk, or the
 *       outcome and the failure if it could not be written. The change stays in force either way.
 * </ol>
 *
 * An operation that changes nothing, such as a repeated one, is also acknowledged only once the
 * newest snapshot is on disk or has failed, because that snapshot may hold the change on which the
 * outcome is based. The operation itself is recorded as completed, but stored only with the next
 * change. Without a state folder, the second step is skipped and the third follows immediately.
 *
 * <p>Owned state: the registry, the state folder and the pending acknowledgements. Lifecycle:
 * {@link #open} once, which restores the state that an earlier process stored; {@link #close} once.
 * All methods are called on the event loop, except {@link #open} and {@link #close}, which block.
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

    /** Called once with the outcome of an operation. */
    interface Acknowledgement {

        /**
         * Reports the outcome.
         *
         * @param failure why the newest change could not be stored, or empty if it was; the change
         *     is in force in both cases
         */
        void acknowledge(OperationOutcome outcome, Optional<NotDurableException> failure);
    }

    private record PendingAcknowledgement(
            long generation, OperationOutcome outcome, Acknowledgement acknowledgement) {}

    /**
     * @param loop the node's event loop, on which the end of each snapshot write is handled
     * @param listener passes a change on to the dispatcher
     */
    DurableDrains(Executor loop, DrainListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    // ---- Start and stop ----

    /**
     * Opens the state folder and restores the drains and operations stored there. Drains that have
     * expired meanwhile are restored too; the first {@link #expire} ends them. Call before the
     * first endpoint list. Blocks; never call it on the event loop.
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
                        "drains restored from " + path + ": " + stored.drains().size())
                .with("count", stored.drains().size())
                .log(LOG, Level.INFO);
    }

    /**
     * Closes the state folder once all snapshots are written, or after the timeout of {@link
     * StateFolder#close}. Blocks; never call it on the event loop.
     */
    void close() {
        folder.ifPresent(StateFolder::close);
    }

    // ---- Changes ----

    /**
     * Applies an operation in the order that the class comment defines.
     *
     * @param fleet the workers and classes by which a drain is allowed or rejected
     * @param nowUs Unix time, us
     * @param acknowledgement called once, possibly before this method returns
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
     * Ends the drains that have expired, in the order that the class comment defines. There is no
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
                                                "drains could not be stored; they stay in force,"
                                                        + " but a restart loses them: "
                                                        + failure.getCause())
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

    /** Whether changes are stored, so that they survive a restart. */
    boolean hasStateFolder() {
        return folder.isPresent();
    }

    /**
     * Returns the state of a worker that the dispatcher gets; see {@link
     * DrainRegistry#effectiveState}.
     */
    WorkerState effectiveState(String worker, WorkerState listed) {
        return registry.effectiveState(worker, listed);
    }

    /** Returns the drain of a worker, or empty if it has none. */
    Optional<Drain> drainOf(String worker) {
        return registry.drainOf(worker);
    }
}
