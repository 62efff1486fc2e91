package cresschute.dispatch;

import java.util.List;

/**
 * What is known of a request class: its settings, the workers open to it and the estimate of its
 * running time. It keeps state for the rules and decides nothing.
 */
final class ClassState {

    /** Latency objectives that the first estimate of the running time is. */
    private static final double INITIAL_RUNNING_TIME_OBJECTIVES = 2.0;

    private final int index;
    private final RequestClass requestClass;
    private final List<CapacityEstimator> capacities;
    private final WorkerGroup allWorkers;
    private final WorkerGroup zoneWorkers;
    private double runningTimeUs;
    private long longestTimeoutUs;
    private int samples;

    /**
     * A class of which nothing was learned.
     *
     * @param index its number, from 0
     * @param zone the dispatcher's zone
     */
    ClassState(int index, RequestClass requestClass, WorkerIndex workers, int zone) {
        this.index = index;
        this.requestClass = requestClass;
        this.capacities = workers.capacitiesFor(requestClass.placement());
        this.allWorkers = workers.group(requestClass.placement(), WorkerGroup.Scope.ALL, 0);
        this.zoneWorkers = workers.group(requestClass.placement(), WorkerGroup.Scope.ZONE, zone);
        this.runningTimeUs = INITIAL_RUNNING_TIME_OBJECTIVES * requestClass.latencyObjectiveUs();
    }

    int index() {
        return index;
    }

    /** The class as the settings state it. */
    RequestClass requestClass() {
        return requestClass;
    }

    /** The dispatchable workers open to the class. */
    WorkerGroup allWorkers() {
        return allWorkers;
    }

    /** Those of them that are in the dispatcher's zone. */
    WorkerGroup zoneWorkers() {
        return zoneWorkers;
    }

    /** Estimated running time of a job at a worker of usual pace, us. */
    double runningTimeUs() {
        return runningTimeUs;
    }

    /** How many running times were learned. */
    int samples() {
        return samples;
    }

    /** Learns a running time; the first samples count in full. */
    void learnRunningTime(double us, double weight) {
        samples++;
        runningTimeUs += Math.max(weight, 1.0 / samples) * (us - runningTimeUs);
    }

    /**
     * Takes in the time left to a request at its arrival; the longest seen is that of a first send.
     */
    long learnTimeout(long leftUs) {
        longestTimeoutUs = Math.max(longestTimeoutUs, leftUs);
        return longestTimeoutUs;
    }

    /** Latest time after a request's first send at which a job so long is in time, us. */
    double inTimeUs(double runningTimeUs) {
        return requestClass.latencyObjectiveUs()
                + requestClass.latencyObjectiveStretch() * runningTimeUs;
    }

    /** Time that a job of the estimated running time may wait and be in time, at least 1 us. */
    double slackUs() {
        return Math.max(1, inTimeUs(runningTimeUs) - runningTimeUs);
    }

    /** Adds work that clients ask for to each of its capacities, slots. */
    void addOffered(double slots) {
        for (final CapacityEstimator capacity : capacities) {
            capacity.addOffered(slots);
        }
    }

    /** Work that fits into all its capacities now, slots. */
    double unallocated() {
        return Math.max(
                0, capacities.stream().mapToDouble(CapacityEstimator::unallocated).min().orElse(0));
    }

    /** Allocates work of each of its capacities, slots. */
    void allocate(double slots) {
        for (final CapacityEstimator capacity : capacities) {
            capacity.allocate(slots);
        }
    }
}
