package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.health.ConditionChange;
import cresschute.health.HealthThresholds;
import cresschute.health.HealthTracker;
import cresschute.health.LatencyObjective;
import cresschute.health.RequestResult;
import cresschute.health.TrackedAttempt;
import cresschute.health.WorkerCondition;
import cresschute.health.WorkerListing;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Passes endpoint lists, requests, attempts and load reports to the {@link HealthTracker}, and
 * records changes of the endpoint list and of conditions as events for operators. It only observes
 * workers and has no influence on their selection.
 *
 * <p>Owned state: the tracker, the last listed state of each worker, and the workers that changed
 * since their rows were last rebuilt. All of it lives as long as the process and is used on the
 * event loop only.
 */
final class WorkerHealthMonitor implements RequestListener {

    private final ControlContext node;
    private final DurableDrains drains;
    private final HealthTracker tracker;
    private final Map<String, WorkerState> lastListed = new HashMap<>();
    private final Set<Integer> changedWorkers = new HashSet<>();

    /** Creates a monitor with a tracker for the settings of the node. */
    WorkerHealthMonitor(ControlContext node, DurableDrains drains) {
        this.node = node;
        this.drains = drains;
        this.tracker = createTracker(node.config());
    }

    private static HealthTracker createTracker(NodeConfig config) {
        return new HealthTracker(
                HealthThresholds.defaults(
                        config.settings().progressUs(),
                        config.settings().slowStart().warmUpDurationUs()),
                config.settings().classes().stream()
                        .map(WorkerHealthMonitor::latencyObjective)
                        .toList());
    }

    private static LatencyObjective latencyObjective(RequestClass requestClass) {
        return new LatencyObjective(
                requestClass.priorityWeight(),
                requestClass.latencyObjectiveUs(),
                requestClass.latencyObjectiveStretch());
    }

    // ---- Events of the request lifecycle ----

    @Override
    public void endpointListChanged(long nowUs, List<Worker> workers) {
        for (final Worker each : workers) {
            workerChanged(nowUs, each);
            final String name = node.workers().name(each.id());
            final WorkerState before = lastListed.put(name, each.state());
            if (before != null && before != each.state()) {
                node.events()
                        .record(
                                OperatorEventKind.ENDPOINT_CHANGED,
                                name,
                                "the list says " + name + " is " + stateLabel(each.state()));
            }
        }
    }

    private static String stateLabel(WorkerState state) {
        return switch (state) {
            case READY -> "serving";
            case DRAINING -> "draining";
            case GONE -> "gone";
        };
    }

    /** Updates the tracker after the drains of these workers changed. */
    void drainsChanged(List<String> names) {
        final long nowUs = node.nowUs();
        for (final String name : names) {
            final int number = node.workers().number(name);
            if (number >= 0) {
                workerChanged(nowUs, node.workers().listed().get(number));
            }
        }
    }

    private void workerChanged(long nowUs, Worker worker) {
        tracker.workerListed(
                nowUs,
                worker.id(),
                new WorkerListing(
                        worker.state(),
                        drains.drainOf(node.workers().name(worker.id())).isPresent(),
                        worker.startedAtUs()));
        changedWorkers.add(worker.id());
    }

    @Override
    public void requestSubmitted(long nowUs, int requestClass) {
        tracker.requestArrived(nowUs, requestClass);
    }

    @Override
    public void requestEnded(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {
        tracker.requestEnded(nowUs, requestClass, resultOf(answer), attempts, waitedUs, ranUs);
    }

    private static RequestResult resultOf(Answer answer) {
        return switch (answer) {
            case SERVED -> RequestResult.SERVED;
            case REJECTED -> RequestResult.REJECTED;
            case FAILED -> RequestResult.FAILED;
            case LEFT -> RequestResult.CLIENT_LEFT;
        };
    }

    @Override
    public AttemptObserver attemptStarted(long nowUs, int worker, int requestClass) {
        final TrackedAttempt attempt = tracker.attemptSent(nowUs, worker, requestClass);
        changedWorkers.add(worker);
        return new AttemptObserver() {
            @Override
            public void progressed(long atUs) {
                attempt.progressReported(atUs);
            }

            @Override
            public void ended(long atUs, Outcome outcome, LoadReport report) {
                attempt.ended(atUs, outcome, report);
                changedWorkers.add(worker);
            }

            @Override
            public long ranUs(long atUs) {
                return attempt.runTimeUs(atUs);
            }
        };
    }

    @Override
    public void loadReported(long nowUs, int worker, LoadReport report) {
        tracker.loadReported(nowUs, worker, report);
        changedWorkers.add(worker);
    }

    // ---- Conditions ----

    /**
     * Evaluates the conditions of all workers, and records the changes that matter to operators.
     */
    void updateConditions() {
        for (final ConditionChange each : tracker.evaluate(node.nowUs())) {
            changedWorkers.add(each.worker());
            if (isRecorded(each)) {
                final String name = node.workers().name(each.worker());
                node.events()
                        .record(
                                OperatorEventKind.CONDITION_CHANGED,
                                name,
                                name
                                        + " is "
                                        + each.to().word()
                                        + (each.reason().isEmpty() ? "" : ": " + each.reason()));
            }
        }
    }

    /**
     * Whether a change is recorded as a condition event. Changes of the endpoint list and drains
     * have their own events, and changes between working conditions, such as a worker that fills up
     * and empties, are normal operation.
     */
    private static boolean isRecorded(ConditionChange change) {
        return change.from().isPresent()
                && change.to() != WorkerCondition.REMOVED
                && change.to() != WorkerCondition.DRAINING
                && !(isWorking(change.from().get()) && isWorking(change.to()));
    }

    private static boolean isWorking(WorkerCondition condition) {
        return condition.compareTo(WorkerCondition.OVERLOADED) <= 0;
    }

    // ---- Queries ----

    /** The health figures of workers and classes. */
    HealthTracker tracker() {
        return tracker;
    }

    /** The numbers of the workers that changed since the last {@link #clearChangedWorkers}. */
    Set<Integer> changedWorkers() {
        return Collections.unmodifiableSet(changedWorkers);
    }

    /** Clears the set; called after the rows of the changed workers are rebuilt. */
    void clearChangedWorkers() {
        changedWorkers.clear();
    }

    /** Returns the number of attempts in flight at a worker; 0 if no endpoint list has named it. */
    int inFlight(String worker) {
        final int number = node.workers().number(worker);
        return number < 0 ? 0 : tracker.inFlight(number);
    }
}
