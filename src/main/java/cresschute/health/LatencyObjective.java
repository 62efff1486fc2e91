package cresschute.health;

/**
 * The latency objective of a request class: a served request meets it when it is answered within
 * {@code baseUs + stretch * runTimeUs}.
 *
 * @param priorityWeight weight of a request that meets the objective, relative to other classes
 * @param baseUs latency that is allowed regardless of the running time, microseconds
 * @param stretch additional allowed latency as a multiple of the job's running time
 */
public record LatencyObjective(double priorityWeight, long baseUs, double stretch) {

    /**
     * Returns whether a served request met the objective.
     *
     * @param latencyUs time from its arrival to its answer, microseconds
     * @param runTimeUs running time of the job, microseconds
     */
    boolean isMet(long latencyUs, long runTimeUs) {
        return latencyUs <= baseUs + stretch * runTimeUs;
    }
}
