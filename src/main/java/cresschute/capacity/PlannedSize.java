package cresschute.capacity;

import java.util.EnumMap;
import java.util.Map;

/**
 * The size that an installation is planned for, as its operators state it.
 *
 * @param workers listed workers
 * @param accelerators accelerators of these workers; each is a slot of one kind of worker
 * @param jobsPerDay jobs per day
 * @param startsPerSecond peak rate of attempts per second, over all dispatchers
 * @param running requests in flight at once, over all dispatchers
 * @param gangSize maximum number of requests of one tenant that are useful only together
 * @param tenants tenants with a quota
 * @param urgentStartMs maximum time until a request of the most urgent class starts, milliseconds
 * @param regions sets of zones that a network partition can separate
 * @param zones number of zones in all regions
 * @param configurationChangesPerDay changes of settings, of drains and bans and of the endpoint
 *     list, per day
 * @param configurationDelayMs maximum time until such a change is in force at every dispatcher,
 *     milliseconds
 * @param failuresPerDay machines that fail on an ordinary day
 * @param replacementsPerDay machines that are restarted or replaced on an ordinary day
 * @param dispatchers dispatcher processes, one on each machine reserved for control
 */
public record PlannedSize(
        int workers,
        int accelerators,
        int jobsPerDay,
        int startsPerSecond,
        int running,
        int gangSize,
        int tenants,
        int urgentStartMs,
        int regions,
        int zones,
        int configurationChangesPerDay,
        int configurationDelayMs,
        int failuresPerDay,
        int replacementsPerDay,
        int dispatchers) {

    /** The size that the operators expect within two years. */
    public static final PlannedSize OPERATORS =
            new PlannedSize(
                    1_400,
                    1_800,
                    8_600,
                    300,
                    9_100,
                    128,
                    54,
                    5_400,
                    2,
                    7,
                    1_500,
                    10_000,
                    19,
                    79,
                    ControlLimits.OPERATORS.machines());

    private static final double SECONDS_PER_DAY = 86_400;

    /** A machine that fails or is replaced is removed from the list once and added again once. */
    private static final int LIST_CHANGES_PER_MACHINE = 2;

    /** The mean time that a request is in flight, in seconds, by Little's law. */
    public double meanOpenSeconds() {
        return (double) running / startsPerSecond;
    }

    /** Changes of the list per second if every change of the configuration changes the list. */
    public double listChangesPerSecond() {
        return (configurationChangesPerDay
                        + (double) LIST_CHANGES_PER_MACHINE * (failuresPerDay + replacementsPerDay))
                / SECONDS_PER_DAY;
    }

    /** Settings reloads per second if every change of the configuration is one. */
    public double settingsChangesPerSecond() {
        return configurationChangesPerDay / SECONDS_PER_DAY;
    }

    /** This size along every axis of the sweep. */
    public Sizes sizes() {
        final Map<Axis, Double> sizes = new EnumMap<>(Axis.class);
        sizes.put(Axis.WORKERS, (double) workers);
        sizes.put(Axis.RUNNING, (double) running);
        sizes.put(Axis.STARTS, (double) startsPerSecond);
        sizes.put(Axis.TENANTS, (double) tenants);
        sizes.put(Axis.DISPATCHERS, (double) dispatchers);
        sizes.put(Axis.LIST_CHANGES, listChangesPerSecond());
        sizes.put(Axis.SETTINGS_CHANGES, settingsChangesPerSecond());
        return new Sizes(sizes);
    }

    /**
     * Doubles everything that grows with the installation. Limits, delays, regions, zones and
     * control machines keep their values.
     */
    public PlannedSize doubled() {
        return new PlannedSize(
                2 * workers,
                2 * accelerators,
                2 * jobsPerDay,
                2 * startsPerSecond,
                2 * running,
                2 * gangSize,
                2 * tenants,
                urgentStartMs,
                regions,
                zones,
                2 * configurationChangesPerDay,
                configurationDelayMs,
                2 * failuresPerDay,
                2 * replacementsPerDay,
                dispatchers);
    }
}
