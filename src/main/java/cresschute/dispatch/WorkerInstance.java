package cresschute.dispatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;

/**
 * The state of one run of a worker process: its entry in the endpoint list, load, slowdown and
 * health. It makes no decisions.
 */
final class WorkerInstance {

    /** Weight of one sample in the slowness of a worker. */
    private static final double SLOWNESS_WEIGHT = 0.15;

    private final WorkerKind kind;
    private List<WorkerGroup> groups;
    private List<CapacityEstimator> capacities;
    private int[] positions;
    private Worker endpoint;
    private boolean dispatchable;
    private boolean missingFromList;
    private double ownSlots;
    private double ownSlotsAtReport;
    private double otherSlots;
    private long otherSlotsAtUs;
    private double slowness = 1;
    private int consecutiveFailures;
    private long[] unresponsiveUntilUs;
    private long ejectedUntilUs;
    private long stalledUntilUs;
    private long lastProgressUs;
    private double warmUpTokens;
    private long warmUpTokensAtUs;
    private final ArrayDeque<PendingRequest> queryingRequests = new ArrayDeque<>();

    /**
     * Creates an instance that has not joined its groups yet.
     *
     * @param positions number of positions in groups that it needs, one for each group index
     * @param classes number of request classes
     */
    WorkerInstance(
            Worker endpoint,
            WorkerKind kind,
            List<WorkerGroup> groups,
            int positions,
            int classes) {
        this.endpoint = endpoint;
        this.kind = kind;
        this.groups = groups;
        this.capacities = capacitiesOf(groups);
        this.positions = new int[positions];
        this.unresponsiveUntilUs = new long[classes];
    }

    private static List<CapacityEstimator> capacitiesOf(List<WorkerGroup> groups) {
        return groups.stream().filter(WorkerGroup::hasCapacity).map(WorkerGroup::capacity).toList();
    }

    /**
     * Replaces its groups after placements or classes were added; allowed only while it is not
     * dispatchable.
     */
    void setGroups(List<WorkerGroup> memberships, int positionCount, int classes) {
        groups = memberships;
        capacities = capacitiesOf(memberships);
        positions = Arrays.copyOf(positions, positionCount);
        unresponsiveUntilUs = Arrays.copyOf(unresponsiveUntilUs, classes);
    }

    int id() {
        return endpoint.id();
    }

    Worker endpoint() {
        return endpoint;
    }

    WorkerKind kind() {
        return kind;
    }

    /** Returns whether an entry of the list describes this instance of the worker, in any state. */
    boolean isSameInstance(Worker entry) {
        return endpoint.startedAtUs() == entry.startedAtUs()
                && endpoint.zone() == entry.zone()
                && endpoint.kind() == entry.kind()
                && endpoint.cell() == entry.cell();
    }

    /** Stores the worker's new entry of the endpoint list. */
    void updateEndpoint(Worker entry) {
        endpoint = entry;
        missingFromList = false;
    }

    boolean isMissingFromList() {
        return missingFromList;
    }

    void setMissingFromList(boolean missing) {
        missingFromList = missing;
    }

    /**
     * Returns whether new attempts may be sent to it: it is listed as ready and has joined its
     * groups.
     */
    boolean isDispatchable() {
        return dispatchable;
    }

    /** Adds it to all its groups, unless it has joined them. */
    void joinGroups() {
        if (!dispatchable) {
            groups.forEach(group -> group.add(this));
            dispatchable = true;
        }
    }

    /** Removes it from all its groups, if it has joined them. */
    void leaveGroups() {
        if (dispatchable) {
            groups.forEach(group -> group.remove(this));
            dispatchable = false;
        }
    }

    /** Its position among the members of the group with this index. */
    int position(int groupIndex) {
        return positions[groupIndex];
    }

    void setPosition(int groupIndex, int position) {
        positions[groupIndex] = position;
    }

    /**
     * Adds the ending of an attempt as evidence to the capacity of each group that it belongs to.
     */
    void addEvidence(CapacityEstimator.Evidence evidence, double priorityWeight) {
        for (final CapacityEstimator capacity : capacities) {
            capacity.addEvidence(evidence, priorityWeight);
        }
    }

    /** Adds the work of a served job, slot-us, to the capacity of each group. */
    void jobFinished(double work) {
        for (final CapacityEstimator capacity : capacities) {
            capacity.jobFinished(work);
        }
    }

    void reserveSlots(double slots) {
        ownSlots += slots;
    }

    void releaseSlots(double slots) {
        ownSlots = Math.max(0, ownSlots - slots);
    }

    /** Slots that this dispatcher's attempts in flight take at the worker. */
    double ownSlots() {
        return ownSlots;
    }

    /**
     * Records the slots in use or queued for by all dispatchers, from a report. A report lags
     * behind: it does not include attempts sent since the previous report.
     */
    void slotsReported(double slotsInUse, long nowUs) {
        otherSlots = Math.max(0, slotsInUse - Math.min(ownSlots, ownSlotsAtReport));
        ownSlotsAtReport = ownSlots;
        otherSlotsAtUs = nowUs;
        for (final CapacityEstimator capacity : capacities) {
            capacity.slotsReported(slotsInUse, kind.slots());
        }
        kind.otherSlotsReported(otherSlots);
    }

    /** Slots in use or queued for by other dispatchers, as of the last report. */
    double otherSlots() {
        return otherSlots;
    }

    /** Time of the last load report, us. */
    long otherSlotsAtUs() {
        return otherSlotsAtUs;
    }

    /** Records a job's running time, divided by the estimate of its class. */
    void learnRunningTime(double ratio) {
        learnSlowdown(ratio);
        kind.learnRunSlowness(ratio);
    }

    /** Records a job's time at the worker, divided by the running time of its class. */
    void learnSlowdown(double ratio) {
        slowness += SLOWNESS_WEIGHT * (ratio / kind.slowness() - slowness);
        kind.learnSlowness(ratio);
    }

    /** Factor by which jobs run longer at this worker than the estimate of their class. */
    double slowdown() {
        return kind.slowness() * slowness;
    }

    /** Records a progress report or other sign of progress: the worker is no longer stalled. */
    void progressReported(long nowUs) {
        lastProgressUs = nowUs;
        stalledUntilUs = 0;
    }

    long lastProgressUs() {
        return lastProgressUs;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    void addFailures(int failures) {
        consecutiveFailures += failures;
    }

    void clearFailures() {
        consecutiveFailures = 0;
    }

    void ejectUntil(long untilUs) {
        ejectedUntilUs = untilUs;
    }

    void stalledUntil(long untilUs) {
        stalledUntilUs = untilUs;
    }

    boolean isStalled(long nowUs) {
        return stalledUntilUs > nowUs;
    }

    /** Marks it unresponsive for one class; ignores an unknown class. */
    void unresponsiveUntil(int requestClass, long untilUs) {
        if (requestClass >= 0 && requestClass < unresponsiveUntilUs.length) {
            unresponsiveUntilUs[requestClass] = untilUs;
        }
    }

    boolean isUnresponsive(int requestClass, long nowUs) {
        return unresponsiveUntilUs[requestClass] > nowUs;
    }

    /** Returns whether it is ejected, stalled or unresponsive for the class now. */
    boolean isEjected(int requestClass, long nowUs) {
        return Math.max(stalledUntilUs, Math.max(ejectedUntilUs, unresponsiveUntilUs[requestClass]))
                > nowUs;
    }

    /** Starts refilling the warm-up tokens. */
    void startWarmUp(long nowUs) {
        warmUpTokensAtUs = nowUs;
    }

    /**
     * Refills the warm-up tokens.
     *
     * @param refill tokens added in each window, and the maximum kept, slot-us
     * @param windowUs length of a window, us
     * @return the tokens left, slot-us; below 0 if more work was sent than the tokens covered
     */
    double refillWarmUpTokens(long nowUs, double refill, long windowUs) {
        warmUpTokens =
                Math.min(refill, warmUpTokens + refill * (nowUs - warmUpTokensAtUs) / windowUs);
        warmUpTokensAtUs = nowUs;
        return warmUpTokens;
    }

    void takeWarmUpTokens(double work) {
        warmUpTokens -= work;
    }

    /** Records that a load query was sent to it for this request. */
    void addQueryingRequest(PendingRequest request) {
        queryingRequests.add(request);
    }

    /**
     * Removes and returns the request of the oldest unanswered load query; null if there is none.
     */
    PendingRequest pollQueryingRequest() {
        return queryingRequests.poll();
    }
}
