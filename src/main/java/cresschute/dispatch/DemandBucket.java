package cresschute.dispatch;

/**
 * The requests of one class and job size that are within, or beyond, their tenants' quotas. The
 * admission controller sets one admit probability for each bucket.
 */
final class DemandBucket {

    /** Lower bound on the offered work as a divisor, slots. */
    private static final double MIN_OFFERED = 1e-9;

    private final ClassState classState;
    private final double slots;
    private final double quotaWeightFactor;
    private double priorityWeight;
    private double arrivals;
    private double rate;
    private double work;
    private double admitProbability = 1;
    private double credit = 0.5;

    /**
     * Creates a bucket that admits all requests.
     *
     * @param slots slots that a job of this bucket takes
     * @param quotaWeightFactor factor on the class's priority weight: 1 within the quota
     */
    DemandBucket(ClassState classState, double slots, double quotaWeightFactor) {
        this.classState = classState;
        this.slots = slots;
        this.quotaWeightFactor = quotaWeightFactor;
        this.priorityWeight = classState.requestClass().priorityWeight() * quotaWeightFactor;
    }

    ClassState classState() {
        return classState;
    }

    /** Priority weight of one request. */
    double priorityWeight() {
        return priorityWeight;
    }

    /** Work of one request, slot-us. */
    double work() {
        return work;
    }

    /** Arrival rate, requests per us. */
    double rate() {
        return rate;
    }

    /** Probability that a request is admitted. */
    double admitProbability() {
        return admitProbability;
    }

    /**
     * Counts an arrival and returns whether it is admitted. The decision is deterministic: while
     * the admit probability stays the same, the number admitted differs from that probability times
     * the number of arrivals by at most one.
     */
    boolean admitNext() {
        arrivals++;
        credit += admitProbability;
        if (credit < 1) {
            return false;
        }
        credit--;
        return true;
    }

    /**
     * Updates the arrival rate by the arrivals of the last {@code elapsedUs}, and the work of a
     * job.
     */
    void updateDemand(double elapsedUs, double sampleWeight) {
        setDemand(
                rate + sampleWeight * (arrivals / elapsedUs - rate),
                slots * classState.runningTimeUs());
        arrivals = 0;
    }

    /** Sets the arrival rate in requests per us and the work of a job in slot-us. */
    void setDemand(double newRate, double newWork) {
        rate = newRate;
        work = newWork;
    }

    /**
     * Sets the priority weight of one request to that of its class, times the factor for requests
     * within or beyond the quota, times {@code factor}.
     */
    void scalePriorityWeight(double factor) {
        priorityWeight = classState.requestClass().priorityWeight() * quotaWeightFactor * factor;
    }

    /** Offered work, slots. */
    double offered() {
        return rate * work;
    }

    /** Adds the offered work to the capacities of the class. */
    void addOfferedToCapacities() {
        classState.addOffered(offered());
    }

    /** Priority weight per slot-us of work. */
    double weightPerWork() {
        return priorityWeight / work;
    }

    /** Starts an allocation: sets the admit probability to 0. */
    void resetAdmission() {
        admitProbability = 0;
    }

    /** Admits a further fraction of the requests and allocates its work. */
    void admit(double fraction) {
        admitProbability += fraction;
        classState.allocate(fraction * rate * work);
    }

    /**
     * Fraction of the requests that fits into the unallocated capacity; above 1 if there is room
     * for more.
     */
    double fittingFraction() {
        return classState.unallocated() / Math.max(MIN_OFFERED, offered());
    }
}
