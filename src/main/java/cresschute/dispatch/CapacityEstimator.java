package cresschute.dispatch;

/**
 * Estimates the work that the ready workers of one placement can take from this dispatcher: the
 * budget B, in slots (slot-us of work per us).
 *
 * <p>Inputs: endings of attempts with their priority weight; work of served jobs in slot-us; slots
 * in use or queued for, from load reports; and the offered work in slots.
 *
 * <p>Rule, applied at each allocation of the admission controller: with bad = sum of priority
 * weight * overload weight of the endings / max({@value #SIGNIFICANT_ENDINGS} * mean priority
 * weight, sum of their priority weights) and tolerated = {@value #TOLERATED_BAD_FRACTION} * margin,
 * where margin is the marginal priority weight clamped to [{@value #MIN_MARGIN}, 1],
 *
 * <ul>
 *   <li>{@code bad > tolerated}: B = max(min(B, offered) * (1 - min({@value #MAX_DECREASE}, {@value
 *       #DECREASE_GAIN} * (bad - tolerated)) / memory), drain rate);
 *   <li>otherwise, if the offered work exceeds B: B = B * (1 + {@value #INCREASE} * (1 - bad /
 *       tolerated)).
 * </ul>
 *
 * <p>The drain rate is {@value #MIN_UTILIZATION} * min(1, tightest slack / (backlog * mean running
 * time)) * rate of finished work / fraction of busy slots. Memory is a factor of at least 1 on the
 * time for which rates and endings are remembered; it rises when few jobs finish.
 *
 * <p>Reason: dispatchers share no state, so each finds its share by small increases and by
 * decreases in proportion to the bad endings. If the last work admitted has a low priority weight,
 * the margin is low and the decrease begins at a smaller fraction of bad endings, so that work of
 * low weight does not make jobs of high weight late. The budget starts unbounded, because nothing
 * is shed before the first evidence of overload.
 *
 * <p>Guarantees: whatever the endings, an adjustment never decreases the budget below the drain
 * rate. Errors, and connections that break after the whole request was sent, never count as
 * endings. Failed connections do count, even if all of them are to one worker.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class CapacityEstimator {

    /** Evidence of the load on the workers, from an attempt that ended or became late. */
    enum Evidence {
        /** Served before it was late. */
        IN_TIME(0),
        /**
         * Rejected as full. It counts little, because the rejection comes at once and another
         * worker may have capacity.
         */
        REJECTED_AS_FULL(0.1),
        /** Late, timed out or unable to connect. */
        OVERLOAD(1);

        private final double overloadWeight;

        Evidence(double overloadWeight) {
            this.overloadWeight = overloadWeight;
        }
    }

    /**
     * Values that apply to all budgets at one adjustment.
     *
     * @param meanPriorityWeight mean priority weight of a request
     * @param marginalPriorityWeight priority weight per work of the last work admitted, divided by
     *     the mean
     * @param tightestSlackUs shortest time that a job of any class may wait and still be in time,
     *     us
     * @param meanRunningTimeUs mean running time of a job, us
     */
    record Conditions(
            double meanPriorityWeight,
            double marginalPriorityWeight,
            double tightestSlackUs,
            double meanRunningTimeUs) {}

    /** Time constant of the arrival and finish rates, us; it spans a few adjustments. */
    static final double RATE_MEMORY_US = 1_500_000;

    /** Time constant of the fraction of bad endings, us. */
    private static final double ENDINGS_MEMORY_US = 1_000_000;

    /**
     * Lower bound on the divisor of the bad fraction, in endings of mean priority weight; with
     * fewer endings, the bad fraction is smaller.
     */
    private static final double SIGNIFICANT_ENDINGS = 5;

    /**
     * Jobs finished within {@link #RATE_MEMORY_US} that make a rate steady; with fewer jobs the
     * rate is remembered longer.
     */
    private static final double STEADY_JOBS = 15;

    /** Tolerated fraction of bad endings while all work has the same priority weight. */
    private static final double TOLERATED_BAD_FRACTION = 0.1;

    /** Lower bound on the marginal priority weight. */
    private static final double MIN_MARGIN = 0.2;

    /** Relative decrease per unit of bad fraction above the tolerated fraction. */
    private static final double DECREASE_GAIN = 0.5;

    /** Largest relative decrease of one adjustment. */
    private static final double MAX_DECREASE = 0.2;

    /**
     * Relative increase of one adjustment, if offered work exceeds the budget and no ending is bad.
     */
    private static final double INCREASE = 0.05;

    /**
     * Fraction of the slots that the drain rate keeps busy before it is reduced for long queues;
     * below 1, so that a queue still drains.
     */
    private static final double MIN_UTILIZATION = 0.8;

    /** Weight of one report in the fraction of busy slots. */
    private static final double BUSY_WEIGHT = 0.05;

    /** Weight of one report in the backlog; it is large because queues grow fast. */
    private static final double BACKLOG_WEIGHT = 0.2;

    /**
     * Lower bound on the fraction of busy slots, so that the drain rate stays bounded while few
     * slots are busy.
     */
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

    /**
     * Adds one load report of a worker.
     *
     * @param inUse slots in use or queued for
     * @param slots slots of the worker
     */
    void slotsReported(double inUse, double slots) {
        backlog += BACKLOG_WEIGHT * (Math.max(0, inUse / slots - 1) - backlog);
        busySlots += BUSY_WEIGHT * (Math.min(slots, inUse) - busySlots);
        reportedSlots += BUSY_WEIGHT * (slots - reportedSlots);
    }

    void clearOffered() {
        offered = 0;
    }

    /** Adds offered work, slots. */
    void addOffered(double slots) {
        offered += slots;
    }

    /**
     * Adjusts the budget by the attempts that ended in the last {@code elapsedUs}, and makes all of
     * it allocatable.
     */
    void adjust(double elapsedUs, Conditions conditions) {
        final double memory = updateFinishRates(elapsedUs);
        adjustBudget(conditions, memory);
        final double decayFactor = Math.exp(-elapsedUs / ENDINGS_MEMORY_US / memory);
        endings *= decayFactor;
        badEndings *= decayFactor;
        unallocated = budget;
    }

    /**
     * Updates the rates and returns the factor on the time for which they are remembered, at least
     * 1.
     */
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
            // Endings that are remembered longer count in more adjustments, so each adjustment is
            // smaller.
            final double decrease =
                    Math.min(MAX_DECREASE, DECREASE_GAIN * (badFraction - tolerated)) / memory;
            final double decreased = Math.min(budget, offered) * (1 - decrease);
            budget = Math.max(decreased, drainRate(conditions));
        } else if (offered > budget) {
            budget *= 1 + INCREASE * (1 - badFraction / tolerated);
        }
    }

    /**
     * Returns the finish rate with most slots busy, reduced if the queues last longer than the
     * tightest slack.
     */
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

    /** The budget, slots; infinite before the first evidence of overload. */
    double budget() {
        return budget;
    }

    /** Part of the budget that is not allocated yet, slots. */
    double unallocated() {
        return unallocated;
    }

    /** Allocates work, slots; the floors may make the unallocated part negative. */
    void allocate(double slots) {
        unallocated -= slots;
    }
}
