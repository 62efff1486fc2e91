package cresschute.dispatch;

import java.util.List;

/**
 * Applies the endpoint list to the worker index.
 *
 * <p>Inputs: the entries of a whole list or of its changes, and the clock in us.
 *
 * <p>Rule: a ready worker becomes dispatchable; one that is draining, gone or missing from a whole
 * list is withdrawn at once, its idle connections are closed where the settings state a time for
 * that, and it is forgotten. An entry with another start, zone, kind or cell is a new incarnation
 * of which nothing is known; attempts in flight at the one before go on.
 *
 * <p>Reason: nothing may be sent to a worker that shuts down gracefully, and a drain must not wait
 * for idle connections.
 *
 * <p>Never: it does not withdraw a worker that a list of changes does not name.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class EndpointListUpdater {

    private final CurrentSettings settings;
    private final WorkerIndex workers;
    private final WorkerLoadEstimator loads;
    private final SlowStart slowStart;
    private final DispatcherActions actions;

    EndpointListUpdater(
            CurrentSettings settings,
            WorkerIndex workers,
            WorkerLoadEstimator loads,
            SlowStart slowStart,
            DispatcherActions actions) {
        this.settings = settings;
        this.workers = workers;
        this.loads = loads;
        this.slowStart = slowStart;
        this.actions = actions;
    }

    /**
     * Applies a list or its changes.
     *
     * @param form any but {@link EndpointListForm#FAILED}
     */
    void apply(EndpointListForm form, List<Worker> entries, long nowUs) {
        final boolean isWholeList = form != EndpointListForm.CHANGES;
        workers.workers().forEach(worker -> worker.setMissingFromList(isWholeList));
        entries.forEach(entry -> update(entry, nowUs));
        workers.workers().stream()
                .filter(WorkerInstance::isMissingFromList)
                .forEach(this::withdraw);
        workers.removeUndispatchable();
    }

    private void update(Worker entry, long nowUs) {
        final WorkerInstance worker = findOrAddInstance(entry, nowUs);
        worker.updateEndpoint(entry);
        if (entry.state() == WorkerState.READY) {
            worker.joinGroups();
            loads.weightListed(worker, entry.weight(), nowUs);
        } else {
            withdraw(worker);
        }
    }

    private WorkerInstance findOrAddInstance(Worker entry, long nowUs) {
        final WorkerInstance known = workers.find(entry.id());
        if (known != null && known.isSameInstance(entry)) {
            return known;
        }
        if (known != null) {
            known.leaveGroups();
        }
        final WorkerInstance added = workers.add(entry);
        slowStart.workerAdded(added, nowUs);
        return added;
    }

    private void withdraw(WorkerInstance worker) {
        worker.leaveGroups();
        closeIdleConnections(worker.id());
    }

    /** Closes the connection that an ended attempt leaves idle, where its worker is withdrawn. */
    void attemptEnded(int workerId) {
        if (!workers.contains(workerId)) {
            closeIdleConnections(workerId);
        }
    }

    private void closeIdleConnections(int workerId) {
        if (settings.get().closeOnDrainWithinUs() < DispatchSettings.UNLIMITED) {
            actions.closeIdleConnections(workerId);
        }
    }
}
