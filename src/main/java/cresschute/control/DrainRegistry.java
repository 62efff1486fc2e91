package cresschute.control;

import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' drains in force, as an overlay on the endpoint list, and the most recent drain
 * operations.
 *
 * <p>Owned state: at most one {@link Drain} per worker, and the last {@value #MAX_COMPLETED}
 * operations with their outcomes. Both are held in memory; {@link #restore} loads them from a
 * {@link DrainSnapshot}, and the owner stores a snapshot after each change.
 *
 * <p>Operations are idempotent by their id: an operation that is sent again, for example after a
 * broken connection, gets the first outcome and has no second effect.
 *
 * <p>Pure: does no I/O, and the clock is passed in. Not thread-safe; used only on the node's event
 * loop.
 */
public final class DrainRegistry {

    /**
     * Maximum number of completed operations that are kept; an older operation that is sent again
     * is applied as a new one.
     */
    static final int MAX_COMPLETED = 1_024;

    /** Maximum number of drains in force; a site has fewer workers. */
    static final int MAX_DRAINS = 10_000;

    /** The end and the duration of a drain that does not expire. */
    public static final long NO_END_US = Long.MAX_VALUE;

    private final Map<String, Drain> drains = new LinkedHashMap<>();
    private final Map<String, CompletedOperation> completed = new LinkedHashMap<>();

    /**
     * Applies an operation unless it was applied before.
     *
     * @param operation the operation to apply
     * @param fleet the state of the fleet that decides whether a drain is accepted; not used by an
     *     operation that ends a drain
     * @param nowUs Unix time in microseconds
     * @return the outcome of the operation; the first outcome if it was applied before
     */
    public OperationOutcome apply(DrainOperation operation, FleetView fleet, long nowUs) {
        final CompletedOperation previous = completed.get(operation.id());
        if (previous != null) {
            return previous.operation().equals(operation)
                    ? previous.outcome()
                    : OperationOutcome.rejected(
                            new DrainRejection.OperationIdReused(operation.id()));
        }
        final OperationOutcome outcome =
                operation.isDrain() ? startDrain(operation, fleet, nowUs) : endDrain(operation);
        keepCompleted(new CompletedOperation(operation, outcome));
        return outcome;
    }

    /** Returns whether an operation with this id was completed and is still kept. */
    public boolean isCompleted(String operationId) {
        return completed.containsKey(operationId);
    }

    private void keepCompleted(CompletedOperation operation) {
        completed.put(operation.operation().id(), operation);
        if (completed.size() > MAX_COMPLETED) {
            completed.remove(completed.keySet().iterator().next());
        }
    }

    private OperationOutcome startDrain(DrainOperation operation, FleetView fleet, long nowUs) {
        final Drain inForce = drains.get(operation.worker());
        if (inForce != null) {
            return OperationOutcome.unchanged("drained by " + inForce.attribution());
        }
        final Optional<DrainRejection> rejection = rejectionOf(operation, fleet);
        if (rejection.isPresent()) {
            return OperationOutcome.rejected(rejection.get());
        }
        drains.put(
                operation.worker(),
                new Drain(
                        operation.worker(),
                        nowUs,
                        endOf(operation, nowUs),
                        operation.operator(),
                        operation.reason()));
        return OperationOutcome.APPLIED;
    }

    /**
     * Returns the end of a drain that starts now, or {@link #NO_END_US} if the sum would overflow.
     */
    private static long endOf(DrainOperation operation, long nowUs) {
        return operation.durationUs() > NO_END_US - nowUs
                ? NO_END_US
                : nowUs + operation.durationUs();
    }

    private OperationOutcome endDrain(DrainOperation operation) {
        return drains.remove(operation.worker()) != null
                ? OperationOutcome.APPLIED
                : OperationOutcome.unchanged("not drained by an operator");
    }

    private Optional<DrainRejection> rejectionOf(DrainOperation operation, FleetView fleet) {
        if (drains.size() >= MAX_DRAINS) {
            return Optional.of(new DrainRejection.DrainLimitReached(MAX_DRAINS));
        }
        return operation.isForced()
                ? Optional.empty()
                : rejectionUnlessForced(operation.worker(), fleet);
    }

    /** Returns the rejection of a drain that would leave requests without a worker, or empty. */
    private Optional<DrainRejection> rejectionUnlessForced(String name, FleetView fleet) {
        final Optional<ListedWorker> listed =
                fleet.workers().stream().filter(each -> each.name().equals(name)).findFirst();
        if (listed.isEmpty()) {
            return Optional.of(new DrainRejection.UnknownWorker(name));
        }
        if (!isReady(listed.get())) {
            // A worker that is not ready gets no new requests anyway, so the drain is accepted. It
            // takes effect when the worker becomes ready, for example after a restart.
            return Optional.empty();
        }
        final Worker drained = listed.get().worker();
        final List<Worker> remaining =
                fleet.workers().stream()
                        .filter(each -> !each.name().equals(name) && isReady(each))
                        .map(ListedWorker::worker)
                        .toList();
        for (final ClassPlacement each : fleet.classes()) {
            if (each.placement().allows(drained)
                    && remaining.stream().noneMatch(each.placement()::allows)) {
                return Optional.of(new DrainRejection.OnlyWorkerOfClass(name, each.name()));
            }
        }
        if (fleet.boundCells().contains(drained.cell())
                && remaining.stream().noneMatch(worker -> worker.cell() == drained.cell())) {
            return Optional.of(new DrainRejection.OnlyWorkerOfBoundCell(name, drained.cell()));
        }
        return Optional.empty();
    }

    private boolean isReady(ListedWorker listed) {
        return effectiveState(listed.name(), listed.worker().state()) == WorkerState.READY;
    }

    /**
     * Returns the state of a worker that the dispatcher uses: the worse of its state in the
     * endpoint list and its operator drain.
     *
     * @param worker the worker's id in the endpoint list
     * @param listed the worker's state in the endpoint list
     */
    public WorkerState effectiveState(String worker, WorkerState listed) {
        return listed == WorkerState.READY && drains.containsKey(worker)
                ? WorkerState.DRAINING
                : listed;
    }

    /**
     * Removes the drains that have expired.
     *
     * @param nowUs Unix time in microseconds
     * @return the workers of these drains; their effective state may have changed
     */
    public List<String> expire(long nowUs) {
        final List<String> ended =
                drains.values().stream()
                        .filter(each -> each.endsAtUs() <= nowUs)
                        .map(Drain::worker)
                        .toList();
        ended.forEach(drains::remove);
        return ended;
    }

    /** Returns when the next drain expires, Unix time in microseconds, or {@link #NO_END_US}. */
    public long nextEndUs() {
        return drains.values().stream().mapToLong(Drain::endsAtUs).min().orElse(NO_END_US);
    }

    /** Returns the drain of a worker, or empty if there is none. */
    public Optional<Drain> drainOf(String worker) {
        return Optional.ofNullable(drains.get(worker));
    }

    /** Returns the drains in force, oldest first, in the order of a snapshot. */
    public List<Drain> inForce() {
        return List.copyOf(drains.values());
    }

    /** Returns the completed operations that are kept, oldest first, in the order of a snapshot. */
    public List<CompletedOperation> completed() {
        return List.copyOf(completed.values());
    }

    /** Replaces the drains in force and removes all completed operations. */
    public void restore(List<Drain> stored) {
        restore(stored, List.of());
    }

    /** Replaces the drains in force and the completed operations with those of a snapshot. */
    public void restore(List<Drain> stored, List<CompletedOperation> operations) {
        drains.clear();
        stored.forEach(each -> drains.put(each.worker(), each));
        completed.clear();
        operations.forEach(each -> completed.put(each.operation().id(), each));
    }
}
