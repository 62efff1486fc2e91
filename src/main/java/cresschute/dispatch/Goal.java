package cresschute.dispatch;

/** Weights of the goal's parts; only their proportions count. */
public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {
    public Goal {
        Preconditions.require(whole >= 0 && worstWindow >= 0 && worstClass >= 0 && worstTenant >= 0, "goal weights");
    }
}
