package cresschute.dispatch;

/**
 * Weights of the parts of the objective; only their proportions matter.
 *
 * @param overall weight of all requests, at least 0
 * @param worstWindow weight of the worst window of time, at least 0
 * @param worstClass weight of the worst request class, at least 0
 * @param worstTenant weight of the worst tenant, at least 0
 */
public record ObjectiveWeights(
        double overall, double worstWindow, double worstClass, double worstTenant) {

    /**
     * Checks the weights.
     *
     * @throws IllegalArgumentException if one is negative
     */
    public ObjectiveWeights {
        Preconditions.require(
                overall >= 0 && worstWindow >= 0 && worstClass >= 0 && worstTenant >= 0,
                "objectiveWeights");
    }
}
