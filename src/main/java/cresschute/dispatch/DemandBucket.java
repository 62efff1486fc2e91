package cresschute.dispatch;

/**
 * Requests of one class and job size, within or beyond their tenants' quotas: the unit to which the
 * admission controller gives an admit probability.
 */
final class DemandBucket {

    /** Least offered work, slots: a divisor above 0. */
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
     * An open bucket.
     *
     * @param slots slots of its jobs
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

    /** Arrivals a us. */
    double rate() {
        return rate;
    }

    /** Probability that a request is admitted. */
    double admitProbability() {
        return admitProbability;
    }

    /**
     * Counts an arrival and decides on it; over a run, the fraction admitted is the probability to
     * within one request, without chance.
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

    /** Updates the rate by the arrivals of the last {@code elapsedUs}, and the work of a job. */
    void updateDemand(double elapsedUs, double sampleWeight) {
        setDemand(
                rate + sampleWeight * (arrivals / elapsedUs - rate),
                slots * classState.runningTimeUs());
        arrivals = 0;
    }

    /** Sets arrivals a us and the work of a job, slot-us. */
    void setDemand(double newRate, double newWork) {
        rate = newRate;
        work = newWork;
    }

    /** Multiplies the class's priority weight for each request. */
    void scalePriorityWeight(double factor) {
        priorityWeight = classState.requestClass().priorityWeight() * quotaWeightFactor * factor;
    }

    /** Offered work, slots. */
    double offered() {
        return rate * work;
    }

    /** Adds its offered work to the capacities of its class. */
    void addOfferedToCapacities() {
        classState.addOffered(offered());
    }

    /** Priority weight of a slot-us of work. */
    double weightPerWork() {
        return priorityWeight / work;
    }

    /** Starts a fill: nothing is admitted. */
    void resetAdmission() {
        admitProbability = 0;
    }

    /** Admits a further part of the requests and allocates its work. */
    void admit(double fraction) {
        admitProbability += fraction;
        classState.allocate(fraction * rate * work);
    }

    /** Part of the requests that fits into what is unallocated; above 1 where more fits. */
    double fittingFraction() {
        return classState.unallocated() / Math.max(MIN_OFFERED, offered());
    }
}
