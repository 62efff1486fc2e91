package cresschute.testbed.model;

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
 * A module to compare with: it admits all, chooses by one simple policy, never probes or hedges,
 * and fails a request whose only attempt fails.
 */
final class BaselineModule implements DispatcherEvents {

    /** How a worker is chosen. */
    enum Policy {
        /** Any ready worker. */
        RANDOM("random"),
        /** The one of two with fewer jobs as last reported to this dispatcher. */
        POWER_OF_TWO_STALE("power_of_two_stale"),
        /**
         * The one of all with the least load as it truly is: the bound, which no dispatcher can
         * reach.
         */
        LEAST_OUTSTANDING_TRUE("least_outstanding_true");

        private final String wireName;

        Policy(String wireName) {
            this.wireName = wireName;
        }

        /** The policy that tables and commands write as this word. */
        static Policy of(String wireName) {
            for (final Policy each : values()) {
                if (each.wireName.equals(wireName)) {
                    return each;
                }
            }
            throw new IllegalArgumentException("there is no policy '" + wireName + "'");
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
        // Nothing is held for a request.
    }

    @Override
    public void jobProgressed(
            long nowUs, int requestId, int attempt, int workerId, double fractionDone) {
        // Progress changes no choice.
    }

    @Override
    public void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report) {
        throw new IllegalStateException("no probe was sent");
    }

    @Override
    public void workerReportedUnresponsive(long nowUs, int workerId, int requestClass) {
        // Only the whole worker is chosen or not.
    }

    @Override
    public void timerFired(long nowUs, long token) {
        throw new IllegalStateException("no timer was set");
    }

    @Override
    public void settingsChanged(long nowUs, DispatchSettings settings) {
        // No setting changes a choice.
    }
}
