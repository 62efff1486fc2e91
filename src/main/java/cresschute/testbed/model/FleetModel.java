package cresschute.testbed.model;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * A simulation of a fleet in virtual time: many dispatchers, each with its own decision module, in
 * front of shared workers. The same seed gives the same run. Times are in microseconds. Everything
 * runs on the caller's thread.
 */
public final class FleetModel {

    /**
     * The demand for a request class.
     *
     * @param share weight of the class among all jobs
     * @param meanWorkUs mean work of a job, us
     * @param deviationUs standard deviation of the work of a job, us
     * @param twoSlotFraction fraction of jobs that need two slots
     */
    public record Demand(
            double share, double meanWorkUs, double deviationUs, double twoSlotFraction) {}

    /**
     * A kind of worker: its number of slots, the speed of a core and the kind's share of all
     * workers.
     */
    public record Kind(int slots, double speed, double share) {}

    /**
     * The configuration of a fleet.
     *
     * @param settings the settings of each module; the zone is set for each dispatcher
     * @param demands the demand for each class of the settings, in their order
     * @param load requested work divided by what all healthy workers can do
     * @param skew the most traffic that a dispatcher may get, as a multiple of the mean; traffic is
     *     spread from 1/skew to skew
     */
    public record Plan(
            DispatchSettings settings,
            List<Demand> demands,
            List<Kind> kinds,
            int workers,
            int cellSize,
            double load,
            double skew,
            long seed) {}

    /** The number of requests of a class that arrived in a time span, and their results. */
    public record Tally(int asked, int inTime, int late, int refused) {}

    /**
     * What cold workers were sent in a window of the slow-start rule, relative to what they
     * tolerate.
     *
     * @param overloads cold workers that crashed because of the work sent
     * @param overloadsByJobCount cold workers whose bound the number of jobs alone exceeded
     * @param maxWorkRatio the largest ratio in any window, by work
     * @param maxCountRatio the largest ratio in any window, by number of jobs
     * @param sends jobs sent to cold workers, by class
     */
    public record ColdStartTally(
            int overloads,
            int overloadsByJobCount,
            double maxWorkRatio,
            double maxCountRatio,
            List<Integer> sends) {}

    /** A client's request, from its first attempt on; it lasts over all retries. */
    static final class ClientRequest {
        final int requestClass;
        final long atUs;
        long startedUs = -1;
        long servedUs = -1;
        boolean inTime;

        ClientRequest(int requestClass, long atUs) {
            this.requestClass = requestClass;
            this.atUs = atUs;
        }
    }

    private static final long START_US = 10_000_000_000L;

    /** The latest time after an endpoint list change at which a dispatcher receives it. */
    private static final long MAX_LIST_DELAY_US = 3_000_000;

    /** The time after which a connection is closed when the other end does not respond. */
    private static final long CONNECTION_TIMEOUT_US = 5_000_000;

    private static final int MAX_RETRIES = 2;
    private static final double RETRY_AFTER_HONOURED_FRACTION = 0.85;
    private static final long MEAN_BACKOFF_US = 50_000;

    private final Plan plan;
    private final SplittableRandom random;
    private final EventQueue eventQueue = new EventQueue(START_US);
    private final RegionLink link = new RegionLink();
    private final Map<Integer, ModelWorker> workers = new LinkedHashMap<>();
    private final List<ModelDispatcher> dispatchers = new ArrayList<>();
    private final List<Double> weights = new ArrayList<>();
    private final List<ClientRequest> requests = new ArrayList<>();
    private final int[] coldSends;
    private double burst = 1;
    private boolean arriving = true;

    /**
     * Creates a fleet that has just started; {@code module} creates one dispatcher's module from
     * settings and seed.
     */
    public FleetModel(Plan plan, ModuleMaker module) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.coldSends = new int[plan.demands().size()];
        final List<Worker> listed = new ArrayList<>();
        for (int id = 0; id < plan.workers(); id++) {
            addWorker(id);
            listed.add(workers.get(id).listed(WorkerState.READY));
        }
        for (int i = 0; i < plan.settings().dispatchers(); i++) {
            final DispatchSettings reported = inZone(plan.settings(), i % plan.settings().zones());
            final long seed = random.nextLong();
            dispatchers.add(
                    new ModelDispatcher(
                            eventQueue,
                            workers,
                            link,
                            reported.zone(),
                            actions -> module.make(reported, seed, actions),
                            coldSends));
            weights.add(Math.pow(plan.skew(), 2 * random.nextDouble() - 1));
        }
        dispatchers.forEach(each -> each.listed(EndpointListForm.CACHED, listed));
        eventQueue.scheduleAfter(0, this::arrive);
    }

    /** Creates the decision module of a dispatcher. */
    public interface ModuleMaker {

        /** Creates a module that performs its decisions through {@code actions}. */
        DispatcherEvents make(DispatchSettings settings, long seed, DispatcherActions actions);
    }

    private static DispatchSettings inZone(DispatchSettings s, int zone) {
        return new DispatchSettings(
                s.dispatchers(),
                zone,
                s.zones(),
                s.kinds(),
                s.classes(),
                s.tenants(),
                s.overQuotaWeightFactor(),
                s.priorityWeightPerWork(),
                s.limits(),
                s.slowStart(),
                s.objectiveWeights(),
                s.endpointListIsPolled(),
                s.pollWithinUs(),
                s.weightSource(),
                s.reportsLoad(),
                s.reportsJobStart(),
                s.progressUs(),
                s.crossZonePrice(),
                s.allowsLoadQueries(),
                s.allowsPeerMessages(),
                s.dataTransferPrice(),
                s.fullMayHaveRun(),
                s.closeOnDrainWithinUs());
    }

    private void addWorker(int id) {
        double draw = (id * 0.618034) % 1;
        int kind = 0;
        while (kind < plan.kinds().size() - 1 && draw >= plan.kinds().get(kind).share()) {
            draw -= plan.kinds().get(kind++).share();
        }
        final Kind of = plan.kinds().get(kind);
        final int zones = plan.settings().zones();
        final int cell = id % zones + zones * (id / zones / plan.cellSize());
        workers.put(
                id,
                new ModelWorker(
                        eventQueue,
                        plan.settings().slowStart(),
                        id,
                        id % zones,
                        kind,
                        cell,
                        of.slots(),
                        of.speed() * (0.85 + 0.3 * random.nextDouble()),
                        meanWorkUs()));
    }

    private double meanWorkUs() {
        final double shares = plan.demands().stream().mapToDouble(Demand::share).sum();
        return plan.demands().stream()
                .mapToDouble(
                        each ->
                                each.share()
                                        / shares
                                        * each.meanWorkUs()
                                        * (1 + each.twoSlotFraction()))
                .sum();
    }

    /** Requests per second that all dispatchers receive together, without bursts. */
    public double ratePerS() {
        final double capacity =
                plan.kinds().stream()
                                .mapToDouble(each -> each.share() * each.slots() * each.speed())
                                .sum()
                        * plan.workers();
        return plan.load() * capacity / (meanWorkUs() / 1e6);
    }

    // ---- Events ----

    /** Advances virtual time and runs the events that fall due, us. */
    public void advance(long us) {
        eventQueue.runUntil(eventQueue.nowUs() + us);
    }

    /** Runs until all pending requests have ended; no new requests arrive. */
    public void drain() {
        arriving = false;
        advance(
                plan.settings().classes().stream()
                                .mapToLong(RequestClass::deadlineUs)
                                .max()
                                .orElse(0)
                        + 1_000_000);
    }

    /** Multiplies the usual arrival rate by this factor from now on. */
    public void burst(double times) {
        burst = times;
    }

    /**
     * Cuts the network between the zones below {@code firstZone} and the others. Connections across
     * the cut and to workers that are down break a few seconds later.
     */
    public void cutRegions(int firstZone) {
        link.cut(firstZone);
        eventQueue.scheduleAfter(
                CONNECTION_TIMEOUT_US,
                () -> dispatchers.forEach(ModelDispatcher::breakUnreachable));
    }

    /**
     * Restores the network between the regions; the queued endpoint list changes are delivered
     * immediately.
     */
    public void joinRegions() {
        link.restore();
    }

    /**
     * The slots in use and waiting jobs of a worker, divided by its slots. No dispatcher can see
     * this value.
     */
    public double trueLoad(int worker) {
        return workers.get(worker).trueLoad();
    }

    /** The ids of the workers that are up. */
    public List<Integer> up() {
        return workers.values().stream()
                .filter(ModelWorker::isUp)
                .map(worker -> worker.id)
                .toList();
    }

    /** The zone of a worker, counted from 0. */
    public int zoneOf(int worker) {
        return workers.get(worker).zone;
    }

    /** Crashes workers without notice; the endpoint list reports it later. */
    public void crashWorkers(Collection<Integer> ids) {
        ids.forEach(
                id -> {
                    workers.get(id).crash();
                    report(workers.get(id).listed(WorkerState.GONE));
                });
    }

    /** Starts workers, known or new, as cold processes; the endpoint list reports it later. */
    public void startWorkers(Collection<Integer> ids) {
        ids.forEach(
                id -> {
                    if (!workers.containsKey(id)) {
                        addWorker(id);
                    }
                    workers.get(id).restart();
                    report(workers.get(id).listed(WorkerState.READY));
                });
    }

    /** Drains workers: they finish their jobs and want no new ones. */
    public void drainWorkers(Collection<Integer> ids) {
        ids.forEach(id -> report(workers.get(id).listed(WorkerState.DRAINING)));
    }

    /** Slows workers down by this factor from now on. */
    public void slowDown(Collection<Integer> ids, double times) {
        ids.forEach(id -> workers.get(id).slowDown(times));
    }

    /** Makes workers fail this fraction of their jobs from now on. */
    public void failFraction(Collection<Integer> ids, double part) {
        ids.forEach(id -> workers.get(id).failFraction(part));
    }

    private void report(Worker entry) {
        // All dispatchers share the delay of the endpoint list; each watch adds a small delay of
        // its own.
        final long lateUs = 500_000 + random.nextLong(MAX_LIST_DELAY_US - 1_000_000);
        dispatchers.forEach(
                each ->
                        eventQueue.scheduleAfter(
                                lateUs + random.nextLong(500_000),
                                () ->
                                        link.deliver(
                                                each.zone,
                                                entry.zone(),
                                                () ->
                                                        each.listed(
                                                                EndpointListForm.CHANGES,
                                                                List.of(entry)))));
    }

    private void arrive() {
        if (arriving) {
            submit(drawClass(), drawTenant(), this::anyDispatcher);
            eventQueue.scheduleAfter(
                    (long) (exponential() * 1e6 / (ratePerS() * burst)), this::arrive);
        }
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private int drawClass() {
        double draw =
                random.nextDouble() * plan.demands().stream().mapToDouble(Demand::share).sum();
        int requestClass = 0;
        while (requestClass < plan.demands().size() - 1
                && draw >= plan.demands().get(requestClass).share()) {
            draw -= plan.demands().get(requestClass++).share();
        }
        return requestClass;
    }

    /** Sends requests of one tenant to one dispatcher at the same time. */
    public Gang gang(int requestClass, int tenant, int count) {
        final ModelDispatcher dispatcher = anyDispatcher();
        final List<ClientRequest> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(submit(requestClass, tenant, () -> dispatcher));
        }
        return new Gang(members);
    }

    private int drawTenant() {
        final int tenants = plan.settings().tenants().size();
        return tenants == 0 ? 0 : random.nextInt(tenants);
    }

    private ClientRequest submit(
            int requestClass, int tenant, Supplier<ModelDispatcher> dispatcher) {
        final Demand demand = plan.demands().get(requestClass);
        final double cv = demand.deviationUs() / demand.meanWorkUs();
        final double sigma = Math.sqrt(Math.log(1 + cv * cv));
        final double workUs =
                demand.meanWorkUs() * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
        final int slots = random.nextDouble() < demand.twoSlotFraction() ? 2 : 1;
        final ClientRequest request = new ClientRequest(requestClass, eventQueue.nowUs());
        requests.add(request);
        sendTo(dispatcher.get(), request, tenant, workUs, slots, 0);
        return request;
    }

    private ModelDispatcher anyDispatcher() {
        double draw = random.nextDouble() * weights.stream().mapToDouble(each -> each).sum();
        int index = 0;
        while (index < weights.size() - 1 && draw >= weights.get(index)) {
            draw -= weights.get(index++);
        }
        return dispatchers.get(index);
    }

    private void sendTo(
            ModelDispatcher dispatcher,
            ClientRequest request,
            int tenant,
            double workUs,
            int slots,
            int retries) {
        final RequestClass requestSettings = plan.settings().classes().get(request.requestClass);
        final long leftUs = request.atUs + requestSettings.deadlineUs() - eventQueue.nowUs();
        if (leftUs <= 0) {
            return;
        }
        dispatcher.receive(
                request.requestClass,
                tenant,
                workUs,
                slots,
                leftUs,
                new ModelDispatcher.ClientListener() {
                    @Override
                    public void started() {
                        request.startedUs =
                                request.startedUs < 0 ? eventQueue.nowUs() : request.startedUs;
                    }

                    @Override
                    public void served() {
                        request.servedUs = eventQueue.nowUs();
                        request.inTime =
                                request.servedUs - request.atUs
                                        <= requestSettings.latencyObjectiveUs()
                                                + requestSettings.latencyObjectiveStretch()
                                                        * workUs;
                    }

                    @Override
                    public void refused(long retryAfterUs) {
                        if (retries < MAX_RETRIES) {
                            final long adviceUs =
                                    random.nextDouble() < RETRY_AFTER_HONOURED_FRACTION
                                            ? retryAfterUs
                                            : 0;
                            final long waitUs =
                                    Math.max(adviceUs, (long) (exponential() * MEAN_BACKOFF_US));
                            eventQueue.scheduleAfter(
                                    waitUs,
                                    () ->
                                            sendTo(
                                                    anyDispatcher(),
                                                    request,
                                                    tenant,
                                                    workUs,
                                                    slots,
                                                    retries + 1));
                        }
                    }

                    @Override
                    public void failed() {
                        refused(0);
                    }
                });
    }

    // ---- Results ----

    /**
     * The results of the requests of a class whose first attempt came in the time span from {@code
     * fromS} (inclusive) to {@code toS} (exclusive), s.
     */
    public Tally tally(int requestClass, double fromS, double toS) {
        final List<ClientRequest> of =
                requests.stream()
                        .filter(
                                request ->
                                        request.requestClass == requestClass
                                                && request.atUs - START_US >= fromS * 1e6
                                                && request.atUs - START_US < toS * 1e6)
                        .toList();
        final int inTime = (int) of.stream().filter(request -> request.inTime).count();
        final int served = (int) of.stream().filter(request -> request.servedUs >= 0).count();
        return new Tally(of.size(), inTime, served - inTime, of.size() - served);
    }

    /**
     * The times from first attempt to a worker's start for the requests of a class that started, in
     * ascending order, us.
     */
    public long[] startDelaysUs(int requestClass, double fromS, double toS) {
        return requests.stream()
                .filter(
                        request ->
                                request.requestClass == requestClass
                                        && request.startedUs >= 0
                                        && request.atUs - START_US >= fromS * 1e6
                                        && request.atUs - START_US < toS * 1e6)
                .mapToLong(request -> request.startedUs - request.atUs)
                .sorted()
                .toArray();
    }

    /** The counts of each dispatcher so far. */
    public List<DispatcherMeter> meters() {
        return dispatchers.stream().map(ModelDispatcher::meter).toList();
    }

    /** Attempts per client request: 1 if no request is sent twice and none is rejected. */
    public double sendsPerRequest() {
        return (double) dispatchers.stream().mapToLong(each -> each.sends).sum()
                / Math.max(1, requests.size());
    }

    /** The number of cold workers that were overloaded. */
    public long overloadedWorkers() {
        return workers.values().stream().filter(ModelWorker::overloaded).count();
    }

    /** What cold workers were sent, relative to the bound above which they crash. */
    public ColdStartTally coldStartTally() {
        return new ColdStartTally(
                (int) overloadedWorkers(),
                (int)
                        workers.values().stream()
                                .filter(worker -> worker.maxColdCountRatio() > 1)
                                .count(),
                workers.values().stream()
                        .mapToDouble(ModelWorker::maxColdWorkRatio)
                        .max()
                        .orElse(0),
                workers.values().stream()
                        .mapToDouble(ModelWorker::maxColdCountRatio)
                        .max()
                        .orElse(0),
                Arrays.stream(coldSends).boxed().toList());
    }
}
