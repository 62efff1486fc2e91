package cresschute.health;

/**
 * The condition of a worker as a dispatcher observes it, from the best to the worst. {@link
 * ConditionRules} says when each of them holds.
 */
public enum WorkerCondition {
    /** It accepts jobs and runs them about as fast as other workers do. */
    HEALTHY("taking"),
    /** It has no free slot and a queue, or it rejected a job for lack of capacity. */
    OVERLOADED("full"),
    /** Its jobs run much longer than jobs of the same class on other workers. */
    SLOW("slowing"),
    /** It reports no progress of the jobs it holds, or connections to it fail. */
    UNRESPONSIVE("silent"),
    /** Its process started so recently that it is not at full speed yet. */
    WARMING_UP("cold"),
    /** An operator or the endpoint list takes it out of service: it gets no new jobs. */
    DRAINING("draining"),
    /** The endpoint list no longer contains it. */
    REMOVED("gone");

    private final String word;

    WorkerCondition(String word) {
        this.word = word;
    }

    /** The word for it in console rows, events and log lines; consoles depend on it. */
    public String word() {
        return word;
    }

    /** Whether the endpoint list or an operator states it, rather than observations. */
    boolean isAdministrative() {
        return this == DRAINING || this == REMOVED;
    }

    /** Whether it is before another one in the order from the best to the worst. */
    boolean isBetterThan(WorkerCondition other) {
        return compareTo(other) < 0;
    }
}
