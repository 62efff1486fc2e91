package cresschute.testbed.capacity;

import com.google.gson.annotations.SerializedName;

/**
 * The size of one experiment.
 *
 * @param workers listed workers
 * @param accelerators slots of the accelerated kind among them
 * @param running jobs that run at a time, so that the mean running time is this over {@code
 *     startsPerSecond}
 * @param startsPerSecond requests that clients begin in a second on average
 * @param tenants customers with a quota each
 * @param dispatchers dispatcher processes
 * @param zones zones of workers and dispatchers; each belongs to one region
 * @param gang requests of one tenant that come in one instant at the most
 * @param changesADay changes of the dispatchers' settings, read again on SIGHUP
 * @param listChangesPerSecond changes of the workers' list
 * @param seconds measured, after the number of running jobs is reached
 * @param memoryMb memory of a dispatcher, or 0 for the bounds of the platform's run line
 */
public record CapacityPlan(
        @SerializedName("workers") int workers,
        @SerializedName("accelerators") int accelerators,
        @SerializedName("running") int running,
        @SerializedName("startsPerSecond") double startsPerSecond,
        @SerializedName("tenants") int tenants,
        @SerializedName("dispatchers") int dispatchers,
        @SerializedName("zones") int zones,
        @SerializedName("regions") int regions,
        @SerializedName("gang") int gang,
        @SerializedName("changesADay") double changesADay,
        @SerializedName("listChangesPerSecond") double listChangesPerSecond,
        @SerializedName("seconds") double seconds,
        @SerializedName("seed") long seed,
        @SerializedName("memoryMb") int memoryMb) {

    /** Requests that one tenant may begin in one instant at the most. */
    public static final int MAX_GANG = 1_024;

    private static final int MAX_WORKERS = 10_000;
    private static final int MAX_RUNNING = 50_000;
    private static final double MAX_STARTS_PER_SECOND = 5_000;
    private static final int MAX_TENANTS = 1_000;
    private static final int MAX_DISPATCHERS = 7;
    private static final int MAX_ZONES = 100;
    private static final double MAX_CHANGES_PER_DAY = 864_000;
    private static final double MAX_LIST_CHANGES_PER_SECOND = 200;
    private static final double MAX_SECONDS = 900;
    private static final int MIN_MEMORY_MB = 160;
    private static final int MAX_MEMORY_MB = 4_096;
    private static final double MIN_MEAN_RUN_SECONDS = 0.1;
    private static final double MAX_MEAN_RUN_SECONDS = 120;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double US_PER_SECOND = 1e6;

    /** All sizes are checked. */
    public CapacityPlan {
        within("--workers", workers, 1, MAX_WORKERS);
        within("--accelerators", accelerators, 0, 8.0 * workers);
        within("--running", running, 1, MAX_RUNNING);
        within("--starts", startsPerSecond, 0.1, MAX_STARTS_PER_SECOND);
        within("--tenants", tenants, 1, MAX_TENANTS);
        within("--dispatchers", dispatchers, 1, MAX_DISPATCHERS);
        within("--regions", regions, 1, MAX_ZONES);
        within("--zones", zones, 1, MAX_ZONES);
        if (zones < regions) {
            throw new UnusablePlanException(
                    "--zones: "
                            + zones
                            + " zones cannot make "
                            + regions
                            + " regions: a zone belongs to one region");
        }
        within("--gang", gang, 0, MAX_GANG);
        within("--changes-a-day", changesADay, 0, MAX_CHANGES_PER_DAY);
        within("--list-changes", listChangesPerSecond, 0, MAX_LIST_CHANGES_PER_SECOND);
        within("--seconds", seconds, 1, MAX_SECONDS);
        if (memoryMb != 0) {
            within("--memory-mb", memoryMb, MIN_MEMORY_MB, MAX_MEMORY_MB);
        }
        final double mean = running / startsPerSecond;
        if (mean < MIN_MEAN_RUN_SECONDS || mean > MAX_MEAN_RUN_SECONDS) {
            throw new UnusablePlanException(
                    "--running: "
                            + running
                            + " at "
                            + text(startsPerSecond)
                            + " starts a second are jobs of "
                            + text(mean)
                            + " s; allowed: "
                            + text(MIN_MEAN_RUN_SECONDS)
                            + " to "
                            + text(MAX_MEAN_RUN_SECONDS)
                            + " s");
        }
    }

    private static void within(String option, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new UnusablePlanException(
                    option
                            + ": "
                            + text(value)
                            + " is out of range; allowed: "
                            + text(min)
                            + " to "
                            + text(max));
        }
    }

    private static String text(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** The mean running time of a job, us. */
    public double meanRunUs() {
        return running / startsPerSecond * US_PER_SECOND;
    }

    /** Changes of the dispatchers' settings in a second. */
    public double settingsChangesPerSecond() {
        return changesADay / SECONDS_PER_DAY;
    }

    /** The same with another number of workers, and as many accelerators a worker. */
    public CapacityPlan withWorkers(int next) {
        return new CapacityPlan(
                next,
                (int) Math.round((double) accelerators * next / workers),
                running,
                startsPerSecond,
                tenants,
                dispatchers,
                zones,
                regions,
                gang,
                changesADay,
                listChangesPerSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another number of running jobs. */
    public CapacityPlan withRunning(int next) {
        return new CapacityPlan(
                workers,
                accelerators,
                next,
                startsPerSecond,
                tenants,
                dispatchers,
                zones,
                regions,
                gang,
                changesADay,
                listChangesPerSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another rate of starts. */
    public CapacityPlan withStarts(double next) {
        return new CapacityPlan(
                workers,
                accelerators,
                running,
                next,
                tenants,
                dispatchers,
                zones,
                regions,
                gang,
                changesADay,
                listChangesPerSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another number of tenants. */
    public CapacityPlan withTenants(int next) {
        return new CapacityPlan(
                workers,
                accelerators,
                running,
                startsPerSecond,
                next,
                dispatchers,
                zones,
                regions,
                gang,
                changesADay,
                listChangesPerSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another number of dispatchers. */
    public CapacityPlan withDispatchers(int next) {
        return new CapacityPlan(
                workers,
                accelerators,
                running,
                startsPerSecond,
                tenants,
                next,
                zones,
                regions,
                gang,
                changesADay,
                listChangesPerSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another rate of list changes. */
    public CapacityPlan withListChanges(double perSecond) {
        return new CapacityPlan(
                workers,
                accelerators,
                running,
                startsPerSecond,
                tenants,
                dispatchers,
                zones,
                regions,
                gang,
                changesADay,
                perSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another rate of settings changes. */
    public CapacityPlan withSettingsChanges(double perSecond) {
        return new CapacityPlan(
                workers,
                accelerators,
                running,
                startsPerSecond,
                tenants,
                dispatchers,
                zones,
                regions,
                gang,
                perSecond * SECONDS_PER_DAY,
                listChangesPerSecond,
                seconds,
                seed,
                memoryMb);
    }

    /** The same with another seed. */
    public CapacityPlan withSeed(long next) {
        return new CapacityPlan(
                workers,
                accelerators,
                running,
                startsPerSecond,
                tenants,
                dispatchers,
                zones,
                regions,
                gang,
                changesADay,
                listChangesPerSecond,
                seconds,
                next,
                memoryMb);
    }
}
