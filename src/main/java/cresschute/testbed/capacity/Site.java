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
 * What follows from a plan: the workers, the classes of jobs, and the settings of the dispatchers.
 * Pure.
 */
final class Site {

    static final String URGENT = "urgent";

    /** Within this an urgent job is to start, us. */
    static final long URGENT_START_US = 5_400_000;

    /** The longest run over the mean one. */
    static final double MAX_RUN_OVER_MEAN = 2;

    /** How often one request may be sent to workers. */
    private static final int MAX_ATTEMPTS = 5;

    private static final String ACCELERATED = "accelerated";
    private static final double URGENT_SHARE = 0.1;
    private static final double KEYED_SHARE = 0.2;
    private static final double UNSAFE_SHARE = 0.1;
    private static final double ACCELERATED_SHARE = 0.3;

    /** Part of the accelerators that jobs keep busy, at the most. */
    private static final double ACCELERATORS_BUSY = 0.75;

    private static final int ACCELERATORS_A_WORKER = 4;

    /** Slots over running jobs. */
    private static final double SLOTS_OVER_RUNNING = 1.3;

    private static final int WORKERS_A_CELL = 20;
    private static final double QUOTA_OVER_STARTS = 1.5;
    private static final double MAX_WAIT_US = 20e6;
    private static final double RUNS_TO_DEADLINE = 4;
    private static final double PROGRESS_NOTES_A_RUN = 6;
    private static final long MIN_PROGRESS_US = 1_000_000;
    private static final long IDLE_CONNECTION_US = 10_000_000;
    private static final long CONNECT_TIMEOUT_US = 250_000;
    private static final long ASK_WITHIN_US = 6_000_000;
    private static final long MAX_RETRY_AFTER_US = 2_000_000;

    private final CapacityPlan plan;
    private final int acceleratorWorkers;

    Site(CapacityPlan plan) {
        this.plan = plan;
        acceleratorWorkers =
                plan.accelerators() == 0
                        ? 0
                        : (int)
                                Math.min(
                                        Math.max(1, plan.workers() / 2),
                                        Math.ceil(
                                                (double) plan.accelerators()
                                                        / ACCELERATORS_A_WORKER));
    }

    // ---- Workers ----

    /** The workers, in the order of the list; kinds and zones are spread over it. */
    List<WorkerStandIn.Spec> workers() {
        final List<WorkerStandIn.Spec> workers = new ArrayList<>();
        for (int i = 0; i < plan.workers(); i++) {
            final boolean accelerated = isAccelerated(i);
            workers.add(
                    new WorkerStandIn.Spec(
                            "w" + (i + 1),
                            i / WORKERS_A_CELL,
                            zone(i % plan.zones()),
                            accelerated ? ACCELERATED : "plain",
                            accelerated ? acceleratorSlots() : plainSlots(),
                            1));
        }
        return workers;
    }

    /** Which of so many processes a worker is in: that of its cell. */
    static int partOf(WorkerStandIn.Spec spec, int parts) {
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
        final double slots = SLOTS_OVER_RUNNING * plan.running() * (1 - acceleratedShare());
        return (int)
                Math.max(2, Math.ceil(slots / Math.max(1, plan.workers() - acceleratorWorkers)));
    }

    private double acceleratedShare() {
        return acceleratorWorkers == 0 || acceleratorWorkers == plan.workers()
                ? 0
                : Math.min(
                        ACCELERATED_SHARE,
                        ACCELERATORS_BUSY * plan.accelerators() / plan.running());
    }

    /** The name of a zone, with its region's. */
    String zone(int number) {
        return "r" + (number % plan.regions() + 1) + "-z" + (number + 1);
    }

    // ---- Jobs ----

    /** The longest running time, us. */
    long maxRunUs() {
        return (long) (MAX_RUN_OVER_MEAN * plan.meanRunUs());
    }

    /** How long clients wait, us. */
    long deadlineUs() {
        return (long) (MAX_WAIT_US + RUNS_TO_DEADLINE * plan.meanRunUs());
    }

    long progressUs() {
        return Math.max(MIN_PROGRESS_US, (long) (plan.meanRunUs() / PROGRESS_NOTES_A_RUN));
    }

    /** How long a keyed job's repeats are dropped, us. */
    long repeatWindowUs() {
        return 2 * deadlineUs();
    }

    /** The classes, urgent work first. */
    List<JobClass> classes() {
        final double accelerated = acceleratedShare();
        final List<JobClass> classes = new ArrayList<>();
        classes.add(stated(URGENT, 4, URGENT_START_US, 1, Idempotency.SAFE, URGENT_SHARE));
        classes.add(
                stated("keyed", 2, (long) (MAX_WAIT_US / 2), 1.5, Idempotency.KEYED, KEYED_SHARE));
        classes.add(
                stated(
                        "unsafe",
                        2,
                        (long) (MAX_WAIT_US / 2),
                        1.5,
                        Idempotency.UNSAFE,
                        UNSAFE_SHARE));
        classes.add(
                stated(
                        "batch",
                        1,
                        (long) (MAX_WAIT_US / 2),
                        1.5,
                        Idempotency.SAFE,
                        1 - URGENT_SHARE - KEYED_SHARE - UNSAFE_SHARE - accelerated));
        if (accelerated > 0) {
            classes.add(
                    stated(
                            ACCELERATED,
                            2,
                            (long) (MAX_WAIT_US / 2),
                            1.5,
                            Idempotency.SAFE,
                            accelerated));
        }
        return List.copyOf(classes);
    }

    private JobClass stated(
            String name,
            double value,
            long latencyObjectiveUs,
            double stretch,
            Idempotency effect,
            double share) {
        return new JobClass(
                name,
                value,
                latencyObjectiveUs,
                stretch,
                deadlineUs(),
                effect,
                effect == Idempotency.KEYED ? DeduplicationScope.CELL : DeduplicationScope.ALL,
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
     * The platform's form of the settings.
     *
     * @param dispatcher counted from 0
     * @param change counts the changes of the settings: each gives the first tenant another quota
     */
    JsonObject settings(int dispatcher, int change) {
        final JsonObject settings = new JsonObject();
        settings.addProperty("balancers", plan.dispatchers());
        settings.addProperty("me", dispatcher);
        settings.addProperty("myZone", dispatcher % plan.zones());
        settings.add("zones", zones());
        settings.add("hostTypes", words(List.of("plain", ACCELERATED)));
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
        return words(names);
    }

    private static JsonArray words(List<String> words) {
        final JsonArray array = new JsonArray();
        words.forEach(array::add);
        return array;
    }

    private JsonArray classSettings() {
        final JsonArray array = new JsonArray();
        for (final JobClass each : classes()) {
            final JsonObject stated = new JsonObject();
            stated.addProperty("name", each.name());
            stated.addProperty("worth", each.priorityWeight());
            stated.addProperty("goalTimeUs", each.latencyObjectiveUs());
            stated.addProperty("aimStretch", each.latencyObjectiveStretch());
            stated.addProperty("deadlineUs", each.deadlineUs());
            stated.addProperty(
                    "idempotency",
                    switch (each.effect()) {
                        case SAFE -> "pure";
                        case KEYED -> "token";
                        case UNSAFE -> "side_effect";
                    });
            stated.addProperty("group", each.effect() == Idempotency.KEYED ? "cell" : "all");
            stated.addProperty("keyTtlUs", each.repeatWindowUs());
            if (each.name().equals(ACCELERATED)) {
                final JsonArray kinds = new JsonArray();
                kinds.add(1);
                stated.add("runsOn", kinds);
            } else if (acceleratedShare() > 0) {
                final JsonArray kinds = new JsonArray();
                kinds.add(0);
                stated.add("runsOn", kinds);
            }
            array.add(stated);
        }
        return array;
    }

    private JsonArray tenants(int change) {
        final double quota = QUOTA_OVER_STARTS * plan.startsPerSecond() / plan.tenants();
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
        report.add("fields", words(List.of("x0", "queue")));
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
