package cresschute.testbed.model;

import cresschute.dispatch.ClassChanges;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;

/**
 * A baseline for comparison: it admits all requests, selects workers by one simple policy, sends no
 * load queries or hedged requests, and fails a request whose only attempt fails.
 */
final class BaselineModule implements DispatcherEvents {

    /** The policy by which a worker is selected. */
    enum Policy {
        /** Selects a ready worker at random. */
        RANDOM("random"),
        /**
         * Selects the one of two random workers with fewer jobs in its last report to this
         * dispatcher.
         */
        POWER_OF_TWO_STALE("power_of_two_stale"),
        /**
         * Selects the worker with the least actual load. No dispatcher can know the actual load, so
         * that this is an upper bound.
         */
        LEAST_OUTSTANDING_TRUE("least_outstanding_true");

        private final String wireName;

        Policy(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the policy with this name in tables and commands. */
        static Policy of(String wireName) {
            for (final Policy each : values()) {
                if (each.wireName.equals(wireName)) {
                    return each;
                }
            }
            throw new IllegalArgumentException("unknown policy '" + wireName + "'");
        }
    }

    private final Policy policy;
    private final DispatcherActions actions;
    private final IntToDoubleFunction trueLoad;
    private final SplittableRandom random;
    private final List<Integer> ready = new ArrayList<>();
    private final Map<Integer, Double> reported = new HashMap<>();

    BaselineModule(
            Policy policy, long seed, DispatcherActions actions, IntToDoubleFunction trueLoad) {
        this.policy = policy;
        this.actions = actions;
        this.trueLoad = trueLoad;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries) {
        if (form == EndpointListForm.FULL || form == EndpointListForm.CACHED) {
            ready.clear();
        }
        for (final Worker entry : entries) {
            ready.remove((Integer) entry.id());
            reported.remove(entry.id());
            if (entry.state() == WorkerState.READY) {
                ready.add(entry.id());
            }
        }
    }

    @Override
    public void requestArrived(long nowUs, int requestId, Job job, long deadlineUs) {
        if (ready.isEmpty()) {
            actions.reject(requestId, 0);
            return;
        }
        actions.send(requestId, choose(), deadlineUs);
    }

    private int choose() {
        final int first = randomWorker();
        return switch (policy) {
            case RANDOM -> first;
            case POWER_OF_TWO_STALE -> {
                final int second = randomWorker();
                yield reported.getOrDefault(second, 0.0) < reported.getOrDefault(first, 0.0)
                        ? second
                        : first;
            }
            case LEAST_OUTSTANDING_TRUE -> leastLoaded(first);
        };
    }

    private int randomWorker() {
        return ready.get(random.nextInt(ready.size()));
    }

    private int leastLoaded(int first) {
        int best = first;
        double min = trueLoad.applyAsDouble(first);
        for (int i = 0; i < ready.size() && min > 0; i++) {
            final double load = trueLoad.applyAsDouble(ready.get(i));
            if (load < min) {
                best = ready.get(i);
                min = load;
            }
        }
        return best;
    }

    @Override
    public void attemptEnded(
            long nowUs,
            int requestId,
            int attempt,
            int workerId,
            Outcome outcome,
            long elapsedUs,
            boolean requestClosed,
            LoadReport report) {
        if (!report.equals(LoadReport.NONE)) {
            reported.put(workerId, report.waiting() - report.freeSlots());
        }
        if (!requestClosed) {
            actions.fail(requestId);
        }
    }

    @Override
    public void clientLeft(long nowUs, int requestId) {
        // No state is kept per request.
    }

    @Override
    public void jobProgressed(
            long nowUs, int requestId, int attempt, int workerId, double fractionDone) {
        // The policies ignore progress.
    }

    @Override
    public void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report) {
        throw new IllegalStateException("load reported, but no load query was sent");
    }

    @Override
    public void workerReportedUnresponsive(long nowUs, int workerId, int requestClass) {
        // The policies select workers without regard to request classes.
    }

    @Override
    public void timerFired(long nowUs, long token) {
        throw new IllegalStateException("timer fired, but none was started");
    }

    @Override
    public void settingsChanged(long nowUs, DispatchSettings settings, ClassChanges classChanges) {
        // The policies have no settings.
    }
}
