package cresschute.dispatch;

/**
 * A customer with a quota.
 *
 * @param name name of the tenant
 * @param quotaPerS quota in requests per second, over all dispatchers together; at least 0
 */
public record Tenant(String name, double quotaPerS) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the name is missing or the quota negative
     */
    public Tenant {
        Preconditions.require(name != null, "tenant name");
        Preconditions.require(quotaPerS >= 0, "tenant quotaPerS");
    }
}
