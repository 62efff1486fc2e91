package cresschute.dispatch;

import java.util.List;

/**
 * Applies the endpoint list to the worker index.
 *
 * <p>Inputs: the entries of a complete list or of its changes, and the clock in us.
 *
 * <p>Rule: a ready worker becomes dispatchable. A worker that is draining, gone or missing from a
 * complete list is removed at once, and its idle connections are closed if the settings limit how
 * long they may stay open. An entry with another start time, zone, kind or cell is a new worker
 * instance without learned state; attempts in flight at the old instance continue.
 *
 * <p>Reason: a worker that shuts down gracefully must get no new attempts, and its drain must not
 * wait for idle connections.
 *
 * <p>Guarantees: it never removes a worker because a list of changes does not name it.
 *
 * <p>Called only on the dispatcher's thread.
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
     * Applies a complete list or a list of changes.
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

    /**
     * Closes the connection that an ended attempt leaves idle, if its worker is no longer
     * dispatchable.
     */
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
