package cresschute.dispatch;

/** Weights of the goal's parts; only their proportions count. */
public record ObjectiveWeights(
        double overall, double worstWindow, double worstClass, double worstTenant) {
    public ObjectiveWeights {
        Preconditions.require(
                overall >= 0 && worstWindow >= 0 && worstClass >= 0 && worstTenant >= 0,
                "goal weights");
    }
}
