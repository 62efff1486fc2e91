package cresschute.dispatch;

import java.util.List;

/**
 * The state of a request class: its settings, the workers that its requests may be sent to, and the
 * estimate of its running time. It makes no decisions.
 */
final class ClassState {

    /** Initial estimate of the running time, in latency objectives. */
    private static final double INITIAL_RUNNING_TIME_OBJECTIVES = 2.0;

    private final int index;
    private final RequestClass requestClass;
    private List<CapacityEstimator> capacities;
    private final WorkerGroup allWorkers;
    private final WorkerGroup zoneWorkers;
    private double runningTimeUs;
    private long longestTimeoutUs;
    private int samples;

    /**
     * Creates the state of a class without samples.
     *
     * @param index its number, from 0
     * @param zone the dispatcher's zone
     */
    ClassState(int index, RequestClass requestClass, WorkerIndex workers, int zone) {
        this.index = index;
        this.requestClass = requestClass;
        placementsChanged(workers);
        this.allWorkers = workers.group(requestClass.placement(), WorkerGroup.Scope.ALL, 0);
        this.zoneWorkers = workers.group(requestClass.placement(), WorkerGroup.Scope.ZONE, zone);
        this.runningTimeUs = INITIAL_RUNNING_TIME_OBJECTIVES * requestClass.latencyObjectiveUs();
    }

    /** Finds the capacities that the class uses; called when the placements have changed. */
    void placementsChanged(WorkerIndex workers) {
        capacities = workers.capacitiesFor(requestClass.placement());
    }

    int index() {
        return index;
    }

    /** The settings of the class. */
    RequestClass requestClass() {
        return requestClass;
    }

    /** The dispatchable workers that the class may be sent to. */
    WorkerGroup allWorkers() {
        return allWorkers;
    }

    /** Those of {@link #allWorkers} that are in the dispatcher's zone. */
    WorkerGroup zoneWorkers() {
        return zoneWorkers;
    }

    /** Estimated running time of a job at a worker of usual speed, us. */
    double runningTimeUs() {
        return runningTimeUs;
    }

    /** Number of running times learned. */
    int samples() {
        return samples;
    }

    /** Adds a running time to the estimate, us. Sample n has a weight of at least 1/n. */
    void learnRunningTime(double us, double weight) {
        samples++;
        runningTimeUs += Math.max(weight, 1.0 / samples) * (us - runningTimeUs);
    }

    /**
     * Records the time left to a request at its arrival, us, and returns the longest one so far. A
     * client's first send is assumed to have the longest.
     */
    long learnTimeout(long leftUs) {
        longestTimeoutUs = Math.max(longestTimeoutUs, leftUs);
        return longestTimeoutUs;
    }

    /** Longest time after a request's first send at which its answer is in time, us. */
    double inTimeUs(double runningTimeUs) {
        return requestClass.latencyObjectiveUs()
                + requestClass.latencyObjectiveStretch() * runningTimeUs;
    }

    /**
     * Time that a job of the estimated running time may wait and still be in time, at least 1 us.
     */
    double slackUs() {
        return Math.max(1, inTimeUs(runningTimeUs) - runningTimeUs);
    }

    /** Adds offered work to each capacity of the class, slots. */
    void addOffered(double slots) {
        for (final CapacityEstimator capacity : capacities) {
            capacity.addOffered(slots);
        }
    }

    /** Unallocated work that every capacity of the class still has, slots. */
    double unallocated() {
        return Math.max(
                0, capacities.stream().mapToDouble(CapacityEstimator::unallocated).min().orElse(0));
    }

    /** Allocates work in each capacity of the class, slots. */
    void allocate(double slots) {
        for (final CapacityEstimator capacity : capacities) {
            capacity.allocate(slots);
        }
    }
}
