package cresschute.dispatch;

/** A customer's share: requests a second within it, over all dispatchers together. */
public record Tenant(String name, double quotaPerS) {
    public Tenant {
        Preconditions.require(name != null, "tenant name");
        Preconditions.require(quotaPerS >= 0, "tenant quotaPerS");
    }
}
