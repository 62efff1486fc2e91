package cresschute.control;

import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' drains in force, as an overlay on the endpoint list, and the operations that led
 * to them.
 *
 * <p>Owned state: one {@link Drain} a worker, and the last {@value #MAX_COMPLETED} operations with
 * their outcomes. Both live as long as the process; {@link #restore} takes up what a {@link
 * DrainSnapshot} holds, and the owner stores a snapshot after each change.
 *
 * <p>Operations are idempotent by their id: one that is sent again, as after a broken connection,
 * gets the first outcome and has no second effect.
 *
 * <p>Pure: the clock is passed in, nothing is read or written. Not thread-safe; it is used on the
 * node's loop alone.
 */
public final class DrainRegistry {

    /** Operations that are remembered; an older one that is sent again counts as new. */
    static final int MAX_COMPLETED = 1_024;

    /** Drains in force at a time; a site has fewer workers. */
    static final int MAX_DRAINS = 10_000;

    /** The end, or the duration, of a drain that does not end by itself. */
    public static final long NO_END_US = Long.MAX_VALUE;

    private final Map<String, Drain> drains = new LinkedHashMap<>();
    private final Map<String, CompletedOperation> completed = new LinkedHashMap<>();

    /**
     * Applies an operation, once.
     *
     * @param operation what is asked
     * @param fleet what a drain is judged by; an operation that ends a drain does not use it
     * @param nowUs Unix time, us
     * @return its outcome; the first one where the operation was applied before
     */
    public OperationOutcome apply(DrainOperation operation, FleetView fleet, long nowUs) {
        final CompletedOperation before = completed.get(operation.id());
        if (before != null) {
            return before.operation().equals(operation)
                    ? before.outcome()
                    : OperationOutcome.rejected(
                            new DrainRejection.OperationIdReused(operation.id()));
        }
        final OperationOutcome outcome =
                operation.isDrain() ? startDrain(operation, fleet, nowUs) : endDrain(operation);
        remember(new CompletedOperation(operation, outcome));
        return outcome;
    }

    /** Whether an operation under this id was completed and is still remembered. */
    public boolean isCompleted(String operationId) {
        return completed.containsKey(operationId);
    }

    private void remember(CompletedOperation operation) {
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

    /** The end of a drain that starts now; a sum that would overflow has no end. */
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

    /** Why a drain would leave work without a worker, if it would. */
    private Optional<DrainRejection> rejectionUnlessForced(String name, FleetView fleet) {
        final Optional<ListedWorker> listed =
                fleet.workers().stream().filter(each -> each.name().equals(name)).findFirst();
        if (listed.isEmpty()) {
            return Optional.of(new DrainRejection.UnknownWorker(name));
        }
        if (!isReady(listed.get())) {
            // It gets no new work as it is; a worker that is restarting comes back drained.
            return Optional.empty();
        }
        final Worker leaving = listed.get().worker();
        final List<Worker> remaining =
                fleet.workers().stream()
                        .filter(each -> !each.name().equals(name) && isReady(each))
                        .map(ListedWorker::worker)
                        .toList();
        for (final ClassPlacement each : fleet.classes()) {
            if (each.placement().allows(leaving)
                    && remaining.stream().noneMatch(each.placement()::allows)) {
                return Optional.of(new DrainRejection.OnlyWorkerOfClass(name, each.name()));
            }
        }
        if (fleet.boundCells().contains(leaving.cell())
                && remaining.stream().noneMatch(worker -> worker.cell() == leaving.cell())) {
            return Optional.of(new DrainRejection.OnlyWorkerOfBoundCell(name, leaving.cell()));
        }
        return Optional.empty();
    }

    private boolean isReady(ListedWorker listed) {
        return effectiveState(listed.name(), listed.worker().state()) == WorkerState.READY;
    }

    /**
     * The state of a worker for the dispatcher: the worse of what the endpoint list and the
     * operators say.
     *
     * @param worker the worker's id in the endpoint list
     * @param listed its state there
     */
    public WorkerState effectiveState(String worker, WorkerState listed) {
        return listed == WorkerState.READY && drains.containsKey(worker)
                ? WorkerState.DRAINING
                : listed;
    }

    /**
     * Ends the drains whose end has come.
     *
     * @param nowUs Unix time, us
     * @return their workers, whose effective state may have changed by it
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

    /** When the next drain ends by itself, Unix time in us, or {@link #NO_END_US}. */
    public long nextEndUs() {
        return drains.values().stream().mapToLong(Drain::endsAtUs).min().orElse(NO_END_US);
    }

    /** The drain of a worker, if it has one. */
    public Optional<Drain> drainOf(String worker) {
        return Optional.ofNullable(drains.get(worker));
    }

    /** The drains in force, oldest first, as a snapshot holds them. */
    public List<Drain> inForce() {
        return List.copyOf(drains.values());
    }

    /** The operations that are remembered, oldest first, as a snapshot holds them. */
    public List<CompletedOperation> completed() {
        return List.copyOf(completed.values());
    }

    /** Replaces the drains in force, and forgets all operations. */
    public void restore(List<Drain> stored) {
        restore(stored, List.of());
    }

    /** Replaces the drains in force and the remembered operations by those of a snapshot. */
    public void restore(List<Drain> stored, List<CompletedOperation> operations) {
        drains.clear();
        stored.forEach(each -> drains.put(each.worker(), each));
        completed.clear();
        operations.forEach(each -> completed.put(each.operation().id(), each));
    }
}
