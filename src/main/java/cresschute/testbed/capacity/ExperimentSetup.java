package cresschute.testbed.capacity;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.testbed.JobClass;
import cresschute.testbed.WorkerStandIn;
import java.util.ArrayList;
import java.util.List;

/**
 * Derives from a plan the workers, the job classes and the settings of the dispatchers. Does no I/O
 * and is deterministic.
 */
final class ExperimentSetup {

    static final String URGENT = "urgent";

    /** Maximum time until an urgent job starts, us. */
    static final long URGENT_START_US = 5_400_000;

    /** The longest running time as a multiple of the mean. */
    static final double MAX_RUN_TO_MEAN_RATIO = 2;

    /** Maximum number of attempts of a request. */
    private static final int MAX_ATTEMPTS = 5;

    private static final String ACCELERATED = "accelerated";
    private static final double URGENT_FRACTION = 0.1;
    private static final double KEYED_FRACTION = 0.2;
    private static final double UNSAFE_FRACTION = 0.1;
    private static final double MAX_ACCELERATED_FRACTION = 0.3;

    /** Maximum fraction of the accelerators that jobs occupy. */
    private static final double MAX_ACCELERATOR_UTILIZATION = 0.75;

    private static final int ACCELERATORS_PER_WORKER = 4;

    /** Slots of all workers per planned running job. */
    private static final double SLOTS_PER_RUNNING_JOB = 1.3;

    private static final int WORKERS_PER_CELL = 20;
    private static final double QUOTA_TO_STARTS_RATIO = 1.5;
    private static final double MAX_WAIT_US = 20e6;
    private static final double MEAN_RUNS_TO_DEADLINE = 4;
    private static final double PROGRESS_LINES_PER_RUN = 6;
    private static final long MIN_PROGRESS_US = 1_000_000;
    private static final long IDLE_CONNECTION_US = 10_000_000;
    private static final long CONNECT_TIMEOUT_US = 250_000;
    private static final long ASK_WITHIN_US = 6_000_000;
    private static final long MAX_RETRY_AFTER_US = 2_000_000;

    private final CapacityPlan plan;
    private final int acceleratorWorkers;

    ExperimentSetup(CapacityPlan plan) {
        this.plan = plan;
        acceleratorWorkers =
                plan.accelerators() == 0
                        ? 0
                        : (int)
                                Math.min(
                                        Math.max(1, plan.workers() / 2),
                                        Math.ceil(
                                                (double) plan.accelerators()
                                                        / ACCELERATORS_PER_WORKER));
    }

    // ---- Workers ----

    /** The workers, in the order of the list, over which kinds and zones are spread evenly. */
    List<WorkerStandIn.Spec> workers() {
        final List<WorkerStandIn.Spec> workers = new ArrayList<>();
        for (int i = 0; i < plan.workers(); i++) {
            final boolean accelerated = isAccelerated(i);
            workers.add(
                    new WorkerStandIn.Spec(
                            "w" + (i + 1),
                            i / WORKERS_PER_CELL,
                            zone(i % plan.zones()),
                            accelerated ? ACCELERATED : "plain",
                            accelerated ? acceleratorSlots() : plainSlots(),
                            1));
        }
        return workers;
    }

    /** The number of the process that holds a worker, the same for all workers of a cell. */
    static int processIndex(WorkerStandIn.Spec spec, int parts) {
        return spec.cell() % parts;
    }

    private boolean isAccelerated(int number) {
        return (long) (number + 1) * acceleratorWorkers / plan.workers()
                > (long) number * acceleratorWorkers / plan.workers();
    }

    private int acceleratorSlots() {
        return (int) Math.ceil((double) plan.accelerators() / acceleratorWorkers);
    }

    private int plainSlots() {
        final double slots = SLOTS_PER_RUNNING_JOB * plan.running() * (1 - acceleratedFraction());
        return (int)
                Math.max(2, Math.ceil(slots / Math.max(1, plan.workers() - acceleratorWorkers)));
    }

    private double acceleratedFraction() {
        return acceleratorWorkers == 0 || acceleratorWorkers == plan.workers()
                ? 0
                : Math.min(
                        MAX_ACCELERATED_FRACTION,
                        MAX_ACCELERATOR_UTILIZATION * plan.accelerators() / plan.running());
    }

    /** The name of a zone, prefixed with that of its region. */
    String zone(int number) {
        return "r" + (number % plan.regions() + 1) + "-z" + (number + 1);
    }

    // ---- Jobs ----

    /** The longest running time, us. */
    long maxRunUs() {
        return (long) (MAX_RUN_TO_MEAN_RATIO * plan.meanRunUs());
    }

    /** How long clients wait for an answer, us. */
    long deadlineUs() {
        return (long) (MAX_WAIT_US + MEAN_RUNS_TO_DEADLINE * plan.meanRunUs());
    }

    long progressUs() {
        return Math.max(MIN_PROGRESS_US, (long) (plan.meanRunUs() / PROGRESS_LINES_PER_RUN));
    }

    /** The deduplication window of keyed jobs, us. */
    long repeatWindowUs() {
        return 2 * deadlineUs();
    }

    /** The job classes, the urgent one first. */
    List<JobClass> classes() {
        final double accelerated = acceleratedFraction();
        final List<JobClass> classes = new ArrayList<>();
        classes.add(jobClass(URGENT, 4, URGENT_START_US, 1, Idempotency.SAFE, URGENT_FRACTION));
        classes.add(
                jobClass(
                        "keyed",
                        2,
                        (long) (MAX_WAIT_US / 2),
                        1.5,
                        Idempotency.KEYED,
                        KEYED_FRACTION));
        classes.add(
                jobClass(
                        "unsafe",
                        2,
                        (long) (MAX_WAIT_US / 2),
                        1.5,
                        Idempotency.UNSAFE,
                        UNSAFE_FRACTION));
        classes.add(
                jobClass(
                        "batch",
                        1,
                        (long) (MAX_WAIT_US / 2),
                        1.5,
                        Idempotency.SAFE,
                        1 - URGENT_FRACTION - KEYED_FRACTION - UNSAFE_FRACTION - accelerated));
        if (accelerated > 0) {
            classes.add(
                    jobClass(
                            ACCELERATED,
                            2,
                            (long) (MAX_WAIT_US / 2),
                            1.5,
                            Idempotency.SAFE,
                            accelerated));
        }
        return List.copyOf(classes);
    }

    private JobClass jobClass(
            String name,
            double value,
            long latencyObjectiveUs,
            double stretch,
            Idempotency idempotency,
            double share) {
        return new JobClass(
                name,
                value,
                latencyObjectiveUs,
                stretch,
                deadlineUs(),
                idempotency,
                idempotency == Idempotency.KEYED ? DeduplicationScope.CELL : DeduplicationScope.ALL,
                repeatWindowUs(),
                MAX_ATTEMPTS,
                share,
                (long) plan.meanRunUs());
    }

    static String tenant(int number) {
        return "team" + (number + 1);
    }

    // ---- The dispatchers' settings ----

    /**
     * The settings in the format of the platform.
     *
     * @param dispatcher number of the dispatcher, from 0
     * @param change number of settings changes so far; each changes the quota of the first tenant
     */
    JsonObject settings(int dispatcher, int change) {
        final JsonObject settings = new JsonObject();
        settings.addProperty("balancers", plan.dispatchers());
        settings.addProperty("me", dispatcher);
        settings.addProperty("myZone", dispatcher % plan.zones());
        settings.add("zones", zones());
        settings.add("hostTypes", jsonArray(List.of("plain", ACCELERATED)));
        settings.add("classes", classSettings());
        settings.add("tenants", tenants(change));
        settings.addProperty("overShareWorth", 0.5);
        settings.addProperty("membershipMode", "ask");
        settings.add("limits", limits());
        settings.add("rules", rules());
        settings.add("report", report());
        settings.add("extra", extra());
        return settings;
    }

    private JsonArray zones() {
        final List<String> names = new ArrayList<>();
        for (int i = 0; i < plan.zones(); i++) {
            names.add(zone(i));
        }
        return jsonArray(names);
    }

    private static JsonArray jsonArray(List<String> texts) {
        final JsonArray array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }

    private JsonArray classSettings() {
        final JsonArray array = new JsonArray();
        for (final JobClass each : classes()) {
            final JsonObject jobClass = new JsonObject();
            jobClass.addProperty("name", each.name());
            jobClass.addProperty("worth", each.priorityWeight());
            jobClass.addProperty("goalTimeUs", each.latencyObjectiveUs());
            jobClass.addProperty("aimStretch", each.latencyObjectiveStretch());
            jobClass.addProperty("deadlineUs", each.deadlineUs());
            jobClass.addProperty(
                    "idempotency",
                    switch (each.effect()) {
                        case SAFE -> "pure";
                        case KEYED -> "token";
                        case UNSAFE -> "side_effect";
                    });
            jobClass.addProperty("group", each.effect() == Idempotency.KEYED ? "cell" : "all");
            jobClass.addProperty("keyTtlUs", each.repeatWindowUs());
            if (each.name().equals(ACCELERATED)) {
                final JsonArray kinds = new JsonArray();
                kinds.add(1);
                jobClass.add("runsOn", kinds);
            } else if (acceleratedFraction() > 0) {
                final JsonArray kinds = new JsonArray();
                kinds.add(0);
                jobClass.add("runsOn", kinds);
            }
            array.add(jobClass);
        }
        return array;
    }

    private JsonArray tenants(int change) {
        final double quota = QUOTA_TO_STARTS_RATIO * plan.startsPerSecond() / plan.tenants();
        final JsonArray array = new JsonArray();
        for (int i = 0; i < plan.tenants(); i++) {
            final JsonObject tenant = new JsonObject();
            tenant.addProperty("name", tenant(i));
            tenant.addProperty("quotaPerS", i == 0 && change % 2 == 1 ? 1.1 * quota : quota);
            array.add(tenant);
        }
        return array;
    }

    private static JsonObject limits() {
        final JsonObject limits = new JsonObject();
        limits.addProperty("maxAttempts", MAX_ATTEMPTS);
        limits.addProperty("retryAfter", true);
        limits.addProperty("maxRetryAfterUs", MAX_RETRY_AFTER_US);
        limits.addProperty("parallelTries", true);
        limits.addProperty("probing", true);
        limits.addProperty("connIdleUs", IDLE_CONNECTION_US);
        limits.addProperty("connectTimeoutUs", CONNECT_TIMEOUT_US);
        return limits;
    }

    private static JsonObject rules() {
        final JsonObject rules = new JsonObject();
        rules.addProperty("coldFrom", 1);
        rules.addProperty("warmWithinUs", 0);
        rules.addProperty("overloadFactor", 3);
        rules.addProperty("tipAfterUs", 1_000_000);
        rules.addProperty("askWithinUs", ASK_WITHIN_US);
        return rules;
    }

    private static JsonObject report() {
        final JsonObject report = new JsonObject();
        report.addProperty("how", "answers");
        report.add("fields", jsonArray(List.of("x0", "queue")));
        return report;
    }

    private JsonObject extra() {
        final JsonObject extra = new JsonObject();
        extra.addProperty("tellsStart", true);
        extra.addProperty("progressUs", progressUs());
        extra.addProperty("reportX0", "free_slots");
        return extra;
    }
}
