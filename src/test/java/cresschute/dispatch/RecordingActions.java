package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/** A module under test: feeds it events and records what it asks for. */
final class RecordingActions implements DispatcherActions {

    record Send(int request, int worker) {}

    static final long SECOND = 1_000_000;

    final List<Send> sends = new ArrayList<>();
    final List<Integer> refused = new ArrayList<>();
    final List<Integer> failed = new ArrayList<>();
    final List<Integer> probed = new ArrayList<>();
    final List<Integer> told = new ArrayList<>();
    final List<Integer> closed = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    int watches;
    final Dispatcher module;
    long nowUs = SECOND;
    private long wakeAtUs = Long.MAX_VALUE;

    RecordingActions(DispatchSettings settings) {
        module = new Dispatcher(settings, 7, this);
    }

    static RequestClass job(double priorityWeight, Idempotency effect, DeduplicationScope scope) {
        return new RequestClass(
                priorityWeight,
                200_000,
                2,
                5 * SECOND,
                effect,
                scope,
                3 * SECOND,
                Placement.ANYWHERE);
    }

    static RequestClass bound(Idempotency effect, DeduplicationScope scope, Placement placement) {
        return new RequestClass(1, 200_000, 2, 5 * SECOND, effect, scope, 3 * SECOND, placement);
    }

    static DispatchSettings settings(List<RequestClass> classes) {
        return settings(classes, List.of(), 1, false);
    }

    static DispatchSettings settings(
            List<RequestClass> classes, List<Tenant> tenants, int dispatchers, boolean ask) {
        return settings(
                classes, tenants, dispatchers, ask, false, false, DispatchSettings.UNLIMITED);
    }

    static DispatchSettings settings(
            List<RequestClass> classes, boolean fullMayHaveRun, long closeOnDrainWithinUs) {
        return settings(classes, List.of(), 1, false, false, fullMayHaveRun, closeOnDrainWithinUs);
    }

    static DispatchSettings byWork(List<RequestClass> classes) {
        final DispatchSettings plain = settings(classes);
        return new DispatchSettings(
                plain.dispatchers(),
                plain.zone(),
                plain.zones(),
                plain.kinds(),
                classes,
                plain.tenants(),
                plain.overQuotaWeightFactor(),
                true,
                plain.limits(),
                plain.slowStart(),
                plain.objectiveWeights(),
                plain.endpointListIsPolled(),
                plain.pollWithinUs(),
                plain.weightSource(),
                plain.reportsLoad(),
                plain.reportsJobStart(),
                plain.progressUs(),
                plain.crossZonePrice(),
                plain.allowsLoadQueries(),
                plain.allowsPeerMessages(),
                plain.dataTransferPrice(),
                plain.fullMayHaveRun(),
                plain.closeOnDrainWithinUs());
    }

    static DispatchSettings probing(List<RequestClass> classes) {
        return probing(classes, 1);
    }

    static DispatchSettings probing(List<RequestClass> classes, int dispatchers) {
        return settings(
                classes, List.of(), dispatchers, false, true, false, DispatchSettings.UNLIMITED);
    }

    private static DispatchSettings settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            int dispatchers,
            boolean ask,
            boolean probing,
            boolean fullMayHaveRun,
            long closeOnDrainWithinUs) {
        return new DispatchSettings(
                dispatchers,
                0,
                3,
                2,
                classes,
                tenants,
                0.05,
                false,
                new AttemptLimits(4, 0, false),
                new SlowStartSettings(0.2, 20 * SECOND, 3, SECOND),
                new ObjectiveWeights(0.6, 0.2, 0.2, 0),
                ask,
                10 * SECOND,
                WeightSource.NOMINAL,
                true,
                true,
                0,
                0.02,
                probing,
                true,
                0.1,
                fullMayHaveRun,
                closeOnDrainWithinUs);
    }

    /** Workers tell of progress each second, and a request may be out twice. */
    static DispatchSettings copying(List<RequestClass> classes) {
        final DispatchSettings plain = settings(classes);
        return new DispatchSettings(
                plain.dispatchers(),
                plain.zone(),
                plain.zones(),
                plain.kinds(),
                classes,
                plain.tenants(),
                plain.overQuotaWeightFactor(),
                false,
                new AttemptLimits(4, 0, true),
                plain.slowStart(),
                plain.objectiveWeights(),
                plain.endpointListIsPolled(),
                plain.pollWithinUs(),
                plain.weightSource(),
                plain.reportsLoad(),
                true,
                SECOND,
                plain.crossZonePrice(),
                plain.allowsLoadQueries(),
                plain.allowsPeerMessages(),
                plain.dataTransferPrice(),
                plain.fullMayHaveRun(),
                plain.closeOnDrainWithinUs());
    }

    /** As {@link #copying}, and workers may be asked for their load. */
    static DispatchSettings copyingWhereAsked(List<RequestClass> classes) {
        final DispatchSettings plain = copying(classes);
        return new DispatchSettings(
                plain.dispatchers(),
                plain.zone(),
                plain.zones(),
                plain.kinds(),
                classes,
                plain.tenants(),
                plain.overQuotaWeightFactor(),
                false,
                plain.limits(),
                plain.slowStart(),
                plain.objectiveWeights(),
                plain.endpointListIsPolled(),
                plain.pollWithinUs(),
                plain.weightSource(),
                true,
                true,
                SECOND,
                plain.crossZonePrice(),
                true,
                plain.allowsPeerMessages(),
                plain.dataTransferPrice(),
                plain.fullMayHaveRun(),
                plain.closeOnDrainWithinUs());
    }

    /** Clients are advised to come back after up to 0.2 s. */
    static DispatchSettings advising(List<RequestClass> classes) {
        final DispatchSettings plain = settings(classes);
        return new DispatchSettings(
                plain.dispatchers(),
                plain.zone(),
                plain.zones(),
                plain.kinds(),
                classes,
                plain.tenants(),
                plain.overQuotaWeightFactor(),
                false,
                new AttemptLimits(4, SECOND / 5, false),
                plain.slowStart(),
                plain.objectiveWeights(),
                plain.endpointListIsPolled(),
                plain.pollWithinUs(),
                plain.weightSource(),
                plain.reportsLoad(),
                true,
                0,
                plain.crossZonePrice(),
                plain.allowsLoadQueries(),
                plain.allowsPeerMessages(),
                plain.dataTransferPrice(),
                plain.fullMayHaveRun(),
                plain.closeOnDrainWithinUs());
    }

    static Worker worker(int id, int zone, int cell) {
        return new Worker(id, zone, 0, cell, WorkerState.READY, 1, 0);
    }

    static Worker in(WorkerState state, int id, long startedAtUs) {
        return new Worker(id, 0, 0, 0, state, 1, startedAtUs);
    }

    RecordingActions list(EndpointListForm form, Worker... workers) {
        module.endpointListChanged(nowUs, form, List.of(workers));
        return this;
    }

    void request(int id, int requestClass) {
        request(id, requestClass, 1);
    }

    void request(int id, int requestClass, double slots) {
        request(id, new Job(requestClass, 0, slots, 0, 0, false));
    }

    void request(int id, Job job) {
        module.requestArrived(nowUs, id, job, nowUs + 5 * SECOND);
    }

    void end(int id, int attempt, int worker, Outcome outcome) {
        final boolean served = outcome == Outcome.SERVED;
        module.attemptEnded(nowUs, id, attempt, worker, outcome, 100_000, served, LoadReport.NONE);
    }

    /** Lets time pass, with the module's own timer and nothing else. */
    void pass(long us) {
        final long untilUs = nowUs + us;
        while (wakeAtUs <= untilUs) {
            nowUs = wakeAtUs;
            module.timerFired(nowUs, 0);
        }
        nowUs = untilUs;
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public void send(int requestId, int workerId, long deadlineUs) {
        sends.add(new Send(requestId, workerId));
        log.add("send " + requestId + " " + workerId + " " + deadlineUs);
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        refused.add(requestId);
        log.add("refuse " + requestId);
    }

    @Override
    public void fail(int requestId) {
        failed.add(requestId);
        log.add("fail " + requestId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        wakeAtUs = nowUs + delayUs;
    }

    @Override
    public void pollEndpointList() {
        watches++;
        log.add("watch");
    }

    @Override
    public void queryLoad(int workerId) {
        probed.add(workerId);
        log.add("probe " + workerId);
    }

    @Override
    public void reportUnresponsive(int workerId, int requestClass) {
        told.add(workerId);
        log.add("silent " + workerId + " " + requestClass);
    }

    @Override
    public void closeIdleConnections(int workerId) {
        closed.add(workerId);
        log.add("close " + workerId);
    }
}
