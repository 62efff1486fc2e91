package cresschute.health;

/**
 * The condition of a worker as a dispatcher observes it, ordered from best to worst. {@link
 * ConditionRules} defines when each of them holds.
 */
public enum WorkerCondition {
    /** It accepts jobs and runs them about as fast as other workers. */
    HEALTHY("taking"),
    /** It has no free slot and a queue, or it rejected a job for lack of capacity. */
    OVERLOADED("full"),
    /** Its jobs run much longer than jobs of the same class on other workers. */
    SLOW("slowing"),
    /** It sends nothing about its jobs, or connections to it fail. */
    UNRESPONSIVE("silent"),
    /** Its process started a short while ago and may not run at full speed yet. */
    WARMING_UP("cold"),
    /** An operator or the endpoint list drains it: it gets no new jobs. */
    DRAINING("draining"),
    /** The endpoint list no longer contains it. */
    REMOVED("gone");

    private final String word;

    WorkerCondition(String word) {
        this.word = word;
    }

    /**
     * Returns the condition's word in console rows, events and log lines; consoles depend on it.
     */
    public String word() {
        return word;
    }

    /**
     * Returns whether the endpoint list or an operator sets this condition, rather than
     * observations.
     */
    boolean isAdministrative() {
        return this == DRAINING || this == REMOVED;
    }

    /** Returns whether this condition is better than another one. */
    boolean isBetterThan(WorkerCondition other) {
        return compareTo(other) < 0;
    }
}
