package cresschute.health;

/**
 * The latency objective of a request class: a served request meets it when it is answered within
 * {@code baseUs + stretch * runTimeUs}.
 *
 * @param priorityWeight what a request that meets the objective counts, compared with other classes
 * @param baseUs latency that every request of the class may have, microseconds
 * @param stretch further latency allowed, as a multiple of the job's running time
 */
public record LatencyObjective(double priorityWeight, long baseUs, double stretch) {

    /**
     * Whether a served request met the objective.
     *
     * @param latencyUs time from its arrival to its answer, microseconds
     * @param runTimeUs how long the job ran, microseconds
     */
    boolean isMet(long latencyUs, long runTimeUs) {
        return latencyUs <= baseUs + stretch * runTimeUs;
    }
}
