package cresschute.testbed.capacity;

import com.google.gson.annotations.SerializedName;

/**
 * The size of one experiment.
 *
 * @param workers number of listed workers
 * @param accelerators number of slots of the accelerated kind of worker
 * @param running number of jobs that run at a time; the mean running time, in seconds, is this
 *     divided by {@code startsPerSecond}
 * @param startsPerSecond mean rate of new requests of the clients, per second
 * @param tenants number of tenants, each with a quota
 * @param dispatchers number of dispatcher processes
 * @param zones number of zones of workers and dispatchers; each belongs to one region
 * @param gang maximum number of requests that one tenant sends in one instant; 0 for no gangs
 * @param changesADay changes of the dispatchers' settings per day, reloaded on SIGHUP
 * @param listChangesPerSecond changes of the endpoint list per second
 * @param seconds duration of the measured window, which begins after the ramp
 * @param memoryMb memory of a dispatcher in MB, or 0 for the options of the platform's run line
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

    /** Maximum number of requests that one tenant sends in one instant. */
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

    /**
     * Checks all sizes.
     *
     * @throws UnusablePlanException if a size is out of range
     */
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
                            + " starts per second means a mean running time of "
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

    /** Changes of the dispatchers' settings per second. */
    public double settingsChangesPerSecond() {
        return changesADay / SECONDS_PER_DAY;
    }

    /** A copy with another number of workers and the same accelerators per worker. */
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
