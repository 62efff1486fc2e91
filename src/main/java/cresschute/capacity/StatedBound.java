package cresschute.capacity;

import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Costs that are calculated and compared with a limit in the code, and needs that no class meets.
 */
public enum StatedBound {

    /** Requests of a gang that count as within the quota of their tenant, at one dispatcher. */
    GANG_WITHIN_QUOTA(
            "requests of a gang within its tenant's quota, all at one dispatcher",
            PlannedSize::gangSize,
            3,
            "QuotaMeter",
            "a burst of 2 s of 1.5 times an even part, at least 3; quotas taken as even, the peak"
                    + " in all"),
    /** Connections to workers, one for each request in flight. */
    WORKER_CONNECTIONS(
            "connections of one dispatcher to workers",
            size -> (double) size.running() / size.dispatchers(),
            440,
            "DescriptorBudget",
            "45 % of 1,024 descriptors less 48, no management listener; `limits.sockets`: up to"
                    + " 1,000,000"),
    /** Traffic of a tenant over its quota that still counts as within it. */
    QUOTA_SLACK(
            "traffic of a tenant that counts as within its quota, in quotas",
            size -> 1.5,
            1,
            "QuotaMeter",
            "an even part for each dispatcher, times 1.5"),
    /** Requests of a gang on one client connection. */
    GANG_ON_A_CONNECTION(
            "requests of a gang on one client connection",
            PlannedSize::gangSize,
            120,
            "ClientConnection",
            "one more than 120 without an answer closes the connection"),
    /** Time until a change of the endpoint list is in force, milliseconds. */
    LIST_CHANGE(
            "ms until a change of the list is in force, two calls in a row having fallen silent",
            size -> 6_000,
            PlannedSize.OPERATORS.configurationDelayMs(),
            "DiscoveryClient",
            "2 + 1.25 + 1.25 + 0.2 s for what two calls miss, stated as 6 s"),
    /** Workers in the endpoint list. */
    LIST_SIZE(
            "workers in one list",
            PlannedSize::workers,
            10_000,
            "DiscoveryClient",
            "4 MiB, about 10,000 workers"),
    /** Time until a drain or ban is in force at one dispatcher, milliseconds. */
    DRAIN(
            "ms until a drain or ban is in force at the dispatcher that was called",
            size -> 400,
            PlannedSize.OPERATORS.configurationDelayMs(),
            "DrainRegistry",
            "the rule of the list's drains: 0.4 s"),
    /** Operators' drains and bans in force at a time. */
    BANS(
            "bans at a time, if every change of a day is one that stays",
            PlannedSize::configurationChangesPerDay,
            10_000,
            "OperatorState",
            "10,000; more are refused"),
    /** Admission of all requests of a gang or none. */
    GANG_ADMISSION("a gang admitted whole or not at all"),
    /** Preemption: freeing a slot for urgent work while all are taken. */
    PREEMPTION("a slot freed for urgent work while all are taken"),
    /** Distribution of settings to all dispatchers. */
    SETTINGS_EVERYWHERE(
            "a settings file carried to every dispatcher, and known to be in force there"),
    /** Distribution of drains and bans to all dispatchers. */
    BAN_EVERYWHERE("a drain or ban carried to every dispatcher"),
    /** Takeover of the requests in flight of a failed dispatcher. */
    DISPATCHER_LOSS("open requests of a dispatcher that fails, taken over by another"),
    /** Failover of discovery to another machine. */
    DISCOVERY_LOSS("a second discovery service where one is lost"),
    /** Support for regions, which no class knows. */
    REGIONS("regions: zones that are lost, or cut off, together");

    private final String need;

    @SuppressWarnings("ImmutableEnumChecker") // The functions above keep no state.
    private final ToDoubleFunction<PlannedSize> amount;

    @SuppressWarnings("ImmutableEnumChecker") // A record of a number and a text is immutable.
    private final Limit limit;

    private final String mechanism;

    StatedBound(
            String need,
            ToDoubleFunction<PlannedSize> amount,
            double limit,
            String mechanism,
            String source) {
        this.need = need;
        this.amount = amount;
        this.limit = new Limit(limit, source);
        this.mechanism = mechanism;
    }

    StatedBound(String need) {
        this.need = need;
        this.amount = size -> Double.NaN;
        this.limit = null;
        this.mechanism = Mechanism.MISSING;
    }

    /** The cost in words, with its unit. */
    public String need() {
        return need;
    }

    /** The cost at a size; NaN if no class meets the need. */
    public double amount(PlannedSize size) {
        return amount.applyAsDouble(size);
    }

    /** The limit in the code; empty if no class meets the need. */
    public Optional<Limit> limit() {
        return Optional.ofNullable(limit);
    }

    /** The class that states the limit, or {@link Mechanism#MISSING}. */
    public String mechanism() {
        return mechanism;
    }
}
