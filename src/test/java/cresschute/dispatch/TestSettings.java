package cresschute.dispatch;

import java.util.List;

/** Builder of settings with three zones and two kinds of worker. */
final class TestSettings {

    private static final long SECOND = 1_000_000;

    private List<RequestClass> classes;
    private List<Tenant> tenants = List.of();
    private int dispatchers = 1;
    private boolean priorityWeightPerWork;
    private AttemptLimits limits = new AttemptLimits(4, 0, false);
    private boolean endpointListIsPolled;
    private long pollWithinUs = 10 * SECOND;
    private long progressUs;
    private boolean allowsLoadQueries;
    private boolean fullMayHaveRun;
    private long closeOnDrainWithinUs = DispatchSettings.UNLIMITED;

    TestSettings(List<RequestClass> classes) {
        this.classes = classes;
    }

    /** A class with a latency objective of 0.2 s, a stretch of 2 and a window of 3 s. */
    static RequestClass requestClass(
            double priorityWeight, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                priorityWeight,
                200_000,
                2,
                5 * SECOND,
                idempotency,
                scope,
                3 * SECOND,
                Placement.ANYWHERE);
    }

    /** Same as {@link #requestClass}, with weight 1 and a placement. */
    static RequestClass placedClass(
            Idempotency idempotency, DeduplicationScope scope, Placement placement) {
        return new RequestClass(
                1, 200_000, 2, 5 * SECOND, idempotency, scope, 3 * SECOND, placement);
    }

    /** The default settings. */
    static DispatchSettings settings(List<RequestClass> classes) {
        return new TestSettings(classes).build();
    }

    /** Priority weights count in proportion to work. */
    static DispatchSettings weightedByWork(List<RequestClass> classes) {
        final TestSettings settings = new TestSettings(classes);
        settings.priorityWeightPerWork = true;
        return settings.build();
    }

    /** Workers may be queried for their load. */
    static DispatchSettings withLoadQueries(List<RequestClass> classes) {
        return withLoadQueries(classes, 1);
    }

    static DispatchSettings withLoadQueries(List<RequestClass> classes, int dispatchers) {
        final TestSettings settings = new TestSettings(classes).dispatchers(dispatchers);
        settings.allowsLoadQueries = true;
        return settings.build();
    }

    /** Workers report progress each second, and a request may be hedged. */
    static DispatchSettings hedging(List<RequestClass> classes) {
        return new TestSettings(classes).hedging().build();
    }

    /** Same as {@link #hedging}, and workers may be queried for their load. */
    static DispatchSettings hedgingWithLoadQueries(List<RequestClass> classes) {
        final TestSettings settings = new TestSettings(classes).hedging();
        settings.allowsLoadQueries = true;
        return settings.build();
    }

    /** Rejected clients are advised to retry after at most 0.2 s. */
    static DispatchSettings advisingRetries(List<RequestClass> classes) {
        return new TestSettings(classes).limits(new AttemptLimits(4, SECOND / 5, false)).build();
    }

    private TestSettings hedging() {
        progressUs = SECOND;
        return limits(new AttemptLimits(4, 0, true));
    }

    TestSettings limits(AttemptLimits newLimits) {
        limits = newLimits;
        return this;
    }

    TestSettings progressUs(long us) {
        progressUs = us;
        return this;
    }

    TestSettings tenants(Tenant... newTenants) {
        tenants = List.of(newTenants);
        return this;
    }

    TestSettings dispatchers(int count) {
        dispatchers = count;
        return this;
    }

    TestSettings polled() {
        endpointListIsPolled = true;
        return this;
    }

    TestSettings pollWithinUs(long us) {
        pollWithinUs = us;
        return this;
    }

    TestSettings fullMayHaveRun() {
        fullMayHaveRun = true;
        return this;
    }

    TestSettings closeOnDrainWithinUs(long us) {
        closeOnDrainWithinUs = us;
        return this;
    }

    DispatchSettings build() {
        return new DispatchSettings(
                dispatchers,
                0,
                3,
                2,
                classes,
                tenants,
                0.05,
                priorityWeightPerWork,
                limits,
                new SlowStartSettings(0.2, 20 * SECOND, 3, SECOND),
                new ObjectiveWeights(0.6, 0.2, 0.2, 0),
                endpointListIsPolled,
                pollWithinUs,
                WeightSource.NOMINAL,
                true,
                true,
                progressUs,
                0.02,
                allowsLoadQueries,
                true,
                0.1,
                fullMayHaveRun,
                closeOnDrainWithinUs);
    }
}
