package cresschute.dispatch;

/**
 * Estimates the work that the ready workers of one placement can take from this dispatcher: the
 * budget B, in slots (slot-us of work a us).
 *
 * <p>Inputs: endings of attempts with their priority weight, work of served jobs in slot-us, slots
 * in use and queued for from load reports, and the work offered in slots.
 *
 * <p>Rule, once each interval of the admission controller: with bad = weight of bad endings /
 * weight of all endings and tolerated = {@value #TOLERATED_BAD_FRACTION} * margin, where margin is
 * the marginal priority weight within [{@value #MIN_MARGIN}, 1],
 *
 * <ul>
 *   <li>{@code bad > tolerated}: B = max(min(B, offered) * (1 - min({@value #MAX_DECREASE}, {@value
 *       #DECREASE_GAIN} * (bad - tolerated)) / memory), drain rate);
 *   <li>otherwise, where B binds: B = B * (1 + {@value #INCREASE} * (1 - bad / tolerated)).
 * </ul>
 *
 * <p>The drain rate is {@value #MIN_UTILIZATION} * min(1, tightest slack / (backlog * mean running
 * time)) * rate of finished work / fraction of busy slots. Memory is how much longer than usual
 * rates and endings are remembered, since few jobs finish; at least 1.
 *
 * <p>Reason: dispatchers have no common state, so each finds its part by small increases and
 * decreases in proportion to the fault. Work of little weight that makes weighty jobs late lowers
 * the margin, so the decrease begins sooner. The budget starts without a bound, since nothing is
 * shed before a sign of overload.
 *
 * <p>Never: it does not fall under the rate at which the workers finish jobs with most slots busy,
 * whatever the endings say, and a single worker's errors and broken connections do not count as
 * endings. Failed connections do count, even those of a single worker.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class CapacityEstimator {

    /** What the end of an attempt says of the load on the workers. */
    enum Evidence {
        /** Served before it was late. */
        IN_TIME(0),
        /** Rejected as full: it comes at once, and another worker may have capacity. */
        REJECTED_AS_FULL(0.1),
        /** Late, timed out or not connected. */
        OVERLOAD(1);

        private final double overloadWeight;

        Evidence(double overloadWeight) {
            this.overloadWeight = overloadWeight;
        }
    }

    /**
     * What holds for all budgets at one adjustment.
     *
     * @param meanPriorityWeight mean priority weight of a request
     * @param marginalPriorityWeight priority weight per work of the last work admitted, over the
     *     mean
     * @param tightestSlackUs least time that a job of any class may wait and be in time, us
     * @param meanRunningTimeUs mean running time of a job, us
     */
    record Conditions(
            double meanPriorityWeight,
            double marginalPriorityWeight,
            double tightestSlackUs,
            double meanRunningTimeUs) {}

    /** Memory of arrival and finish rates, us: a few adjustments. */
    static final double RATE_MEMORY_US = 1_500_000;

    /** Memory of the fraction of bad endings, us. */
    private static final double ENDINGS_MEMORY_US = 1_000_000;

    /** Endings of mean weight needed before their bad fraction counts in full. */
    private static final double SIGNIFICANT_ENDINGS = 5;

    /** Jobs finished within the memory of rates that make it steady; with fewer it is longer. */
    private static final double STEADY_JOBS = 15;

    /** Bad fraction that is tolerated while all work has one priority weight. */
    private static final double TOLERATED_BAD_FRACTION = 0.1;

    /** Least marginal priority weight that counts. */
    private static final double MIN_MARGIN = 0.2;

    /** Decrease for each unit of bad fraction beyond the tolerated one. */
    private static final double DECREASE_GAIN = 0.5;

    /** Largest decrease of one adjustment. */
    private static final double MAX_DECREASE = 0.2;

    /** Increase of one adjustment of a budget that binds, while no ending is bad. */
    private static final double INCREASE = 0.05;

    /** Fraction of the slots that a budget keeps busy at least: a queue still drains. */
    private static final double MIN_UTILIZATION = 0.8;

    /** Weight of one report in the fraction of busy slots. */
    private static final double BUSY_WEIGHT = 0.05;

    /** Weight of one report in the backlog: queues grow fast. */
    private static final double BACKLOG_WEIGHT = 0.2;

    /** Least fraction of busy slots that counts: an idle fleet sets no unbounded floor. */
    private static final double MIN_BUSY_FRACTION = 0.1;

    private double budget = Double.POSITIVE_INFINITY;
    private double offered;
    private double unallocated;
    private double endings;
    private double badEndings;
    private double finishedWork;
    private double finishedJobs;
    private double jobRate;
    private double finishedWorkRate;
    private double busySlots;
    private double reportedSlots;
    private double backlog;

    /** Adds the ending of one attempt, by the priority weight of its request. */
    void addEvidence(Evidence evidence, double priorityWeight) {
        endings += priorityWeight;
        badEndings += priorityWeight * evidence.overloadWeight;
    }

    /** Adds a served job's work, slot-us. */
    void jobFinished(double work) {
        finishedWork += work;
        finishedJobs++;
    }

    /** Adds one report: slots in use or queued for at a worker, of so many slots. */
    void slotsReported(double inUse, double slots) {
        backlog += BACKLOG_WEIGHT * (Math.max(0, inUse / slots - 1) - backlog);
        busySlots += BUSY_WEIGHT * (Math.min(slots, inUse) - busySlots);
        reportedSlots += BUSY_WEIGHT * (slots - reportedSlots);
    }

    void clearOffered() {
        offered = 0;
    }

    /** Adds work that clients ask for, slots. */
    void addOffered(double slots) {
        offered += slots;
    }

    /** Adjusts the budget by what ended in the last {@code elapsedUs}; all of it is allocatable. */
    void adjust(double elapsedUs, Conditions conditions) {
        final double memory = updateFinishRates(elapsedUs);
        adjustBudget(conditions, memory);
        final double decayFactor = Math.exp(-elapsedUs / ENDINGS_MEMORY_US / memory);
        endings *= decayFactor;
        badEndings *= decayFactor;
        unallocated = budget;
    }

    /** Updates the rates; returns how much longer than usual they are remembered, at least 1. */
    private double updateFinishRates(double elapsedUs) {
        jobRate +=
                (1 - Math.exp(-elapsedUs / RATE_MEMORY_US)) * (finishedJobs / elapsedUs - jobRate);
        final double memory = Math.max(1, STEADY_JOBS / Math.max(1, jobRate * RATE_MEMORY_US));
        finishedWorkRate +=
                (1 - Math.exp(-elapsedUs / RATE_MEMORY_US / memory))
                        * (finishedWork / elapsedUs - finishedWorkRate);
        finishedWork = 0;
        finishedJobs = 0;
        return memory;
    }

    private void adjustBudget(Conditions conditions, double memory) {
        final double badFraction =
                badEndings
                        / Math.max(SIGNIFICANT_ENDINGS * conditions.meanPriorityWeight(), endings);
        final double tolerated =
                TOLERATED_BAD_FRACTION
                        * Math.max(MIN_MARGIN, Math.min(1, conditions.marginalPriorityWeight()));
        if (badFraction > tolerated) {
            // The same endings count in as many more adjustments as they are remembered longer.
            final double decrease =
                    Math.min(MAX_DECREASE, DECREASE_GAIN * (badFraction - tolerated)) / memory;
            final double decreased = Math.min(budget, offered) * (1 - decrease);
            budget = Math.max(decreased, drainRate(conditions));
        } else if (offered > budget) {
            budget *= 1 + INCREASE * (1 - badFraction / tolerated);
        }
    }

    /** Finish rate with most slots busy, less where the queues outlast the tightest slack. */
    private double drainRate(Conditions conditions) {
        final double utilization =
                MIN_UTILIZATION
                        * Math.min(
                                1,
                                conditions.tightestSlackUs()
                                        / (backlog * conditions.meanRunningTimeUs()));
        return utilization * finishedWorkRate / busyFraction();
    }

    private double busyFraction() {
        return reportedSlots == 0 ? 1 : Math.max(MIN_BUSY_FRACTION, busySlots / reportedSlots);
    }

    /** The budget, slots; infinite before the first sign of overload. */
    double budget() {
        return budget;
    }

    /** Part of the budget that the current fill has not allocated yet, slots. */
    double unallocated() {
        return unallocated;
    }

    /** Allocates work of the current fill, slots; floors may take it below 0. */
    void allocate(double slots) {
        unallocated -= slots;
    }
}
