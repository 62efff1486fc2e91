package cresschute.dispatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;

/**
 * What is known of one incarnation of a worker process: its entry in the endpoint list, the load of
 * it, its pace and its health. It keeps state for the rules and decides nothing.
 */
final class WorkerInstance {

    /** Weight of one running time in the slowness of a worker. */
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
     * An incarnation that is in none of its groups yet.
     *
     * @param positions how many positions in groups it needs, one for each group slot
     * @param classes how many request classes there are
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

    /** Gives it the groups of more placements or classes; only while it is not dispatchable. */
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

    /** Whether an entry of the list is about this incarnation of the worker, in any state. */
    boolean isSameInstance(Worker entry) {
        return endpoint.startedAtUs() == entry.startedAtUs()
                && endpoint.zone() == entry.zone()
                && endpoint.kind() == entry.kind()
                && endpoint.cell() == entry.cell();
    }

    /** Takes its entry from the endpoint list. */
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

    /** Whether new attempts may go to it: it is listed as ready and a member of its groups. */
    boolean isDispatchable() {
        return dispatchable;
    }

    /** Adds it to all its groups; does nothing where it is in them. */
    void joinGroups() {
        if (!dispatchable) {
            groups.forEach(group -> group.add(this));
            dispatchable = true;
        }
    }

    /** Removes it from all its groups; does nothing where it is in none. */
    void leaveGroups() {
        if (dispatchable) {
            groups.forEach(group -> group.remove(this));
            dispatchable = false;
        }
    }

    /** Its position among the members of the group of this slot. */
    int position(int groupIndex) {
        return positions[groupIndex];
    }

    void setPosition(int groupIndex, int position) {
        positions[groupIndex] = position;
    }

    /** Adds an ending as evidence to the capacity of each group that it belongs to. */
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

    /** Slots that this dispatcher's attempts in flight take. */
    double ownSlots() {
        return ownSlots;
    }

    /**
     * Takes in the slots in use or queued for, by all dispatchers, as a report says now. A report
     * is late: attempts sent since the one before are not in it yet.
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

    /** Slots in use or queued for by other dispatchers, at the time of the last report. */
    double otherSlots() {
        return otherSlots;
    }

    /** Time of the last report of its load, us. */
    long otherSlotsAtUs() {
        return otherSlotsAtUs;
    }

    /** Takes in a job's running time over its class's estimate. */
    void learnRunningTime(double ratio) {
        learnSlowdown(ratio);
        kind.learnRunSlowness(ratio);
    }

    /** Takes in a job's time at the worker over the running time of its class. */
    void learnSlowdown(double ratio) {
        slowness += SLOWNESS_WEIGHT * (ratio / kind.slowness() - slowness);
        kind.learnSlowness(ratio);
    }

    /** Running time here over the estimate of the class. */
    double slowdown() {
        return kind.slowness() * slowness;
    }

    /** Takes in a sign of progress: the worker is not stalled. */
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

    /** Marks it unresponsive for one class; does nothing for a class it does not know. */
    void unresponsiveUntil(int requestClass, long untilUs) {
        if (requestClass >= 0 && requestClass < unresponsiveUntilUs.length) {
            unresponsiveUntilUs[requestClass] = untilUs;
        }
    }

    boolean isUnresponsive(int requestClass, long nowUs) {
        return unresponsiveUntilUs[requestClass] > nowUs;
    }

    /** Whether it is ejected, stalled or unresponsive for the class now. */
    boolean isEjected(int requestClass, long nowUs) {
        return Math.max(stalledUntilUs, Math.max(ejectedUntilUs, unresponsiveUntilUs[requestClass]))
                > nowUs;
    }

    /** Starts its bucket of warm-up tokens. */
    void startWarmUp(long nowUs) {
        warmUpTokensAtUs = nowUs;
    }

    /**
     * Refills the bucket of warm-up tokens.
     *
     * @param refill tokens that come in each window, and the most that are kept, slot-us
     * @param windowUs length of a window, us
     * @return the tokens left, slot-us; below 0 where work was sent ahead
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

    /** Notes that a load query was sent to it for this request. */
    void addQueryingRequest(PendingRequest request) {
        queryingRequests.add(request);
    }

    /** The request of the oldest load query without a report; null where there is none. */
    PendingRequest pollQueryingRequest() {
        return queryingRequests.poll();
    }
}
