package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/** A module under test: feeds it events and records what it asks for. */
final class Recorder implements Actions {

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
    final Logic module;
    long nowUs = SECOND;
    private long wakeAtUs = Long.MAX_VALUE;

    Recorder(Settings settings) {
        module = new Logic(settings, 7, this);
    }

    static RequestClass job(double worth, Effect effect, RepeatScope scope) {
        return new RequestClass(worth, 200_000, 2, 5 * SECOND, effect, scope, 3 * SECOND, Placement.ANYWHERE);
    }

    static RequestClass bound(Effect effect, RepeatScope scope, Placement placement) {
        return new RequestClass(1, 200_000, 2, 5 * SECOND, effect, scope, 3 * SECOND, placement);
    }

    static Settings settings(List<RequestClass> classes) {
        return settings(classes, List.of(), 1, false);
    }

    static Settings settings(List<RequestClass> classes, List<Tenant> tenants, int dispatchers, boolean ask) {
        return settings(classes, tenants, dispatchers, ask, false, false, Settings.UNLIMITED);
    }

    static Settings settings(List<RequestClass> classes, boolean fullMayHaveRun, long closeOnDrainWithinUs) {
        return settings(classes, List.of(), 1, false, false, fullMayHaveRun, closeOnDrainWithinUs);
    }

    static Settings byWork(List<RequestClass> classes) {
        final Settings plain = settings(classes);
        return new Settings(plain.dispatchers(), plain.zone(), plain.zones(), plain.kinds(), classes,
            plain.tenants(), plain.overShareWorth(), true, plain.limits(), plain.coldStart(), plain.goal(),
            plain.listMustBeAsked(), plain.askWithinUs(), plain.weightSource(), plain.reportsLoad(),
            plain.tellsStart(), plain.progressUs(), plain.crossZonePrice(), plain.probing(),
            plain.peerMessages(), plain.fetchPrice(), plain.fullMayHaveRun(), plain.closeOnDrainWithinUs());
    }

    static Settings probing(List<RequestClass> classes) {
        return probing(classes, 1);
    }

    static Settings probing(List<RequestClass> classes, int dispatchers) {
        return settings(classes, List.of(), dispatchers, false, true, false, Settings.UNLIMITED);
    }

    private static Settings settings(List<RequestClass> classes, List<Tenant> tenants, int dispatchers,
        boolean ask, boolean probing, boolean fullMayHaveRun,
        long closeOnDrainWithinUs) {
        return new Settings(dispatchers, 0, 3, 2, classes, tenants, 0.05, false, new Limits(4, 0, false),
            new ColdStart(0.2, 20 * SECOND, 3, SECOND), new Goal(0.6, 0.2, 0.2, 0), ask, 10 * SECOND,
            WeightSource.NOMINAL, true, true, 0, 0.02, probing, true, 0.1, fullMayHaveRun,
            closeOnDrainWithinUs);
    }

    /** Workers tell of progress each second, and a request may be out twice. */
    static Settings copying(List<RequestClass> classes) {
        final Settings plain = settings(classes);
        return new Settings(plain.dispatchers(), plain.zone(), plain.zones(), plain.kinds(), classes,
            plain.tenants(), plain.overShareWorth(), false, new Limits(4, 0, true), plain.coldStart(),
            plain.goal(), plain.listMustBeAsked(), plain.askWithinUs(), plain.weightSource(),
            plain.reportsLoad(), true, SECOND, plain.crossZonePrice(), plain.probing(), plain.peerMessages(),
            plain.fetchPrice(), plain.fullMayHaveRun(), plain.closeOnDrainWithinUs());
    }

    /** As {@link #copying}, and workers may be asked for their load. */
    static Settings copyingWhereAsked(List<RequestClass> classes) {
        final Settings plain = copying(classes);
        return new Settings(plain.dispatchers(), plain.zone(), plain.zones(), plain.kinds(), classes,
            plain.tenants(), plain.overShareWorth(), false, plain.limits(), plain.coldStart(), plain.goal(),
            plain.listMustBeAsked(), plain.askWithinUs(), plain.weightSource(), true, true, SECOND,
            plain.crossZonePrice(), true, plain.peerMessages(), plain.fetchPrice(), plain.fullMayHaveRun(),
            plain.closeOnDrainWithinUs());
    }

    /** Clients are advised to come back after up to 0.2 s. */
    static Settings advising(List<RequestClass> classes) {
        final Settings plain = settings(classes);
        return new Settings(plain.dispatchers(), plain.zone(), plain.zones(), plain.kinds(), classes,
            plain.tenants(), plain.overShareWorth(), false, new Limits(4, SECOND / 5, false),
            plain.coldStart(), plain.goal(), plain.listMustBeAsked(), plain.askWithinUs(),
            plain.weightSource(), plain.reportsLoad(), true, 0, plain.crossZonePrice(), plain.probing(),
            plain.peerMessages(), plain.fetchPrice(), plain.fullMayHaveRun(), plain.closeOnDrainWithinUs());
    }

    static Worker worker(int id, int zone, int cell) {
        return new Worker(id, zone, 0, cell, WorkerState.READY, 1, 0);
    }

    static Worker in(WorkerState state, int id, long startedAtUs) {
        return new Worker(id, 0, 0, 0, state, 1, startedAtUs);
    }

    Recorder list(ListForm form, Worker... workers) {
        module.listed(nowUs, form, List.of(workers));
        return this;
    }

    void request(int id, int requestClass) {
        request(id, requestClass, 1);
    }

    void request(int id, int requestClass, double slots) {
        request(id, new Job(requestClass, 0, slots, 0, 0, false));
    }

    void request(int id, Job job) {
        module.requested(nowUs, id, job, nowUs + 5 * SECOND);
    }

    void end(int id, int attempt, int worker, Outcome outcome) {
        final boolean served = outcome == Outcome.SERVED;
        module.ended(nowUs, id, attempt, worker, outcome, 100_000, served, LoadReport.NONE);
    }

    /** Lets time pass, with the module's own timer and nothing else. */
    void pass(long us) {
        final long untilUs = nowUs + us;
        while (wakeAtUs <= untilUs) {
            nowUs = wakeAtUs;
            module.woken(nowUs, 0);
        }
        nowUs = untilUs;
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public void send(int requestId, int workerId, long giveUpUs) {
        sends.add(new Send(requestId, workerId));
        log.add("send " + requestId + " " + workerId + " " + giveUpUs);
    }

    @Override
    public void refuse(int requestId, long retryAfterUs) {
        refused.add(requestId);
        log.add("refuse " + requestId);
    }

    @Override
    public void fail(int requestId) {
        failed.add(requestId);
        log.add("fail " + requestId);
    }

    @Override
    public void wakeAfter(long token, long delayUs) {
        wakeAtUs = nowUs + delayUs;
    }

    @Override
    public void watchList() {
        watches++;
        log.add("watch");
    }

    @Override
    public void probe(int workerId) {
        probed.add(workerId);
        log.add("probe " + workerId);
    }

    @Override
    public void tellSilent(int workerId, int requestClass) {
        told.add(workerId);
        log.add("silent " + workerId + " " + requestClass);
    }

    @Override
    public void closeIdle(int workerId) {
        closed.add(workerId);
        log.add("close " + workerId);
    }
}
