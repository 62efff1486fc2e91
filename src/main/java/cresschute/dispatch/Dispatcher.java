package cresschute.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * All decisions of one dispatcher: a learned capacity budget is filled above floors in order of
 * worth per work, what does not fit is refused unsent, the rest goes to the faster of two sampled
 * ready workers.
 */
public final class Dispatcher implements DispatcherEvents {

    /**
     * Bounds of the pause between looks at open requests, us: half the tightest latency objective
     * within them.
     */
    private static final long MAX_TICK_US = 50_000;

    private static final long MIN_TICK_US = 5_000;

    /**
     * Time between solves, us: long enough for some endings, short beside a burst; jittered by a
     * quarter.
     */
    private static final long SOLVE_US = 400_000;

    /** Share of every class admitted whatever the budget says, so that its estimates stay alive. */
    static final double FLOOR = 0.02;

    /**
     * Age of old news in a report, in mean running times over the dispatchers; how many are asked
     * anew.
     */
    private static final double STALE_RUNS = 6;

    private static final int ASKED = 3;

    /**
     * How often workers are asked for room, answered or not, before a job goes where it must wait.
     */
    private static final int ROUNDS = 2;

    /**
     * How much longer, for each unit of its price, an answer is reckoned to take that crosses
     * zones.
     */
    private static final double CROSSING = 20;

    /** Draws at the most in search of two workers with room. */
    private static final int DRAWS = 8;

    /** Rest after a failed connection, us; doubled each time in a row up to the longest. */
    private static final long REST_US = 500_000;

    private static final int REST_TIMES = 5;

    /**
     * Wait that makes a job's class silent there, in mean running times, and the rest that follows,
     * us.
     */
    private static final double SILENT_RUNS = 4;

    private static final long SILENT_REST_US = 3_000_000;

    /** Progress notes that must be missing before a worker stands still. */
    private static final double STILL_NOTES = 1.8;

    /**
     * Share of the time that a job may wait which it spends unstarted before it is also sent
     * elsewhere.
     */
    private static final double UNSTARTED_COPY = 0.5;

    /** Errors in a row that make a worker rest: fewer are chance. */
    private static final int ERRORS_BORNE = 3;

    /**
     * Pause before a failed list call is repeated, us, jittered; far inside the limit for asking.
     */
    private static final long ASK_AGAIN_US = 1_000_000;

    private final CurrentSettings settings;
    private final DispatcherActions actions;
    private final SplittableRandom random;
    private long tickUs;
    private final DemandBuckets cells = new DemandBuckets();
    private QuotaMeter[] tenants;
    private final WorkerIndex fleet;
    private final ServiceTimeEstimator serviceTimes;
    private final WorkerLoadEstimator loads;
    private final SlowStart slowStart;
    private final Map<Integer, PendingRequest> open = new LinkedHashMap<>();
    private double meanPriorityWeight;
    private double marginalPriorityWeight = 1;
    private long solveAtUs;
    private long solvedAtUs;
    private long askAtUs = Long.MAX_VALUE;

    /** One instance for one dispatcher; {@code seed} feeds all its chance. */
    public Dispatcher(DispatchSettings settings, long seed, DispatcherActions actions) {
        this.settings = new CurrentSettings(settings);
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.fleet =
                new WorkerIndex(settings.classes().stream().map(RequestClass::placement).toList());
        this.serviceTimes = new ServiceTimeEstimator(this.settings);
        this.loads = new WorkerLoadEstimator(this.settings, serviceTimes);
        this.slowStart = new SlowStart(this.settings, serviceTimes, random);
        addClasses(null);
    }

    /**
     * Takes in classes that it has no state of yet, and what follows from them all; keeps such
     * meters.
     */
    private void addClasses(QuotaMeter[] kept) {
        final int before = cells.classCount();
        final int count = settings.get().classes().size();
        long tightestUs = 2 * MAX_TICK_US;
        for (int c = 0; c < count; c++) {
            final RequestClass stated = settings.get().classes().get(c);
            tightestUs = Math.min(tightestUs, stated.latencyObjectiveUs());
            if (c >= before) {
                final ClassState added = new ClassState(c, stated, fleet, settings.get().zone());
                if (before == 0) {
                    serviceTimes.addInitialRunningTime(added.runningTimeUs() / count);
                }
                meanPriorityWeight += before == 0 ? stated.priorityWeight() / count : 0;
                cells.add(added, settings.get().overQuotaWeightFactor());
            }
        }
        tickUs = Math.max(MIN_TICK_US, tightestUs / 2);
        tenants =
                kept != null
                        ? kept
                        : settings.get().tenants().stream()
                                .map(tenant -> QuotaMeter.of(tenant, settings.get().dispatchers()))
                                .toArray(QuotaMeter[]::new);
    }

    /**
     * What was learned stays; new classes start as at a start; customers' shares go on where
     * unchanged.
     */
    @Override
    public void settingsChanged(long nowUs, DispatchSettings next) {
        final DispatchSettings before = settings.get();
        settings.replace(next);
        final boolean sameTenants =
                next.tenants().equals(before.tenants())
                        && next.dispatchers() == before.dispatchers();
        fleet.grow(next.classes().stream().map(RequestClass::placement).toList());
        addClasses(sameTenants ? tenants : null);
    }

    @Override
    public void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries) {
        if (form == EndpointListForm.FAILED) {
            askAtUs = nowUs + ASK_AGAIN_US / 2 + random.nextLong(ASK_AGAIN_US);
            return;
        }
        fleet.workers().forEach(node -> node.setMissingFromList(form != EndpointListForm.CHANGES));
        entries.forEach(entry -> update(nowUs, entry));
        fleet.workers().stream().filter(WorkerInstance::isMissingFromList).forEach(this::dismiss);
        fleet.removeUndispatchable();
        if (solveAtUs == 0) {
            slowStart.started(nowUs);
            solvedAtUs = nowUs;
            solveAtUs = nowUs + SOLVE_US;
            askAtUs =
                    settings.get().endpointListIsPolled()
                            ? nowUs + random.nextLong(ASK_AGAIN_US)
                            : Long.MAX_VALUE;
            actions.startTimer(0, tickUs);
        }
    }

    private void update(long nowUs, Worker entry) {
        WorkerInstance node = fleet.find(entry.id());
        if (node != null && !node.isSameIncarnation(entry)) {
            // A restart forgets what was learned of the process before it, but not the attempts
            // still out.
            node.leaveGroups();
            node = null;
        }
        if (node == null) {
            node = fleet.add(entry);
            slowStart.workerAdded(node, nowUs);
        }
        node.listed(entry);
        if (entry.state() != WorkerState.READY) {
            dismiss(node);
            return;
        }
        node.joinGroups();
        loads.weightListed(node, entry.weight(), nowUs);
    }

    /**
     * A draining, gone or unlisted worker leaves every pool at once: nothing new can be sent to it.
     */
    private void dismiss(WorkerInstance node) {
        node.leaveGroups();
        closeIdle(node.id());
    }

    /**
     * Guards against holding up a drain by idle connections, also after late endings; where it is
     * stated.
     */
    private void closeIdle(int workerId) {
        if (settings.get().closeOnDrainWithinUs() < DispatchSettings.UNLIMITED) {
            actions.closeIdleConnections(workerId);
        }
    }

    /**
     * Guards against sending in vain: a worker rests after failed connections, errors in a row or
     * 'full'.
     */
    private void learnHealth(WorkerInstance node, long nowUs, Outcome outcome) {
        switch (outcome) {
            case SERVED, FULL -> node.clearFailures();
            // A connection that breaks under a job is chance too: a process that dies refuses the
            // next one.
            case ERROR, TIMED_OUT, BROKEN -> node.addFailures(1);
            case CONNECT_FAILED -> node.addFailures(ERRORS_BORNE);
            default -> {}
        }
        final int times = Math.min(node.consecutiveFailures() / ERRORS_BORNE, REST_TIMES);
        final long fullUs = outcome == Outcome.FULL ? (long) serviceTimes.meanRunningTimeUs() : 0;
        node.ejectUntil(nowUs + (times == 0 ? fullUs : REST_US << times - 1));
    }

    private void solve(long nowUs) {
        final double elapsedUs = Math.max(1, nowUs - solvedAtUs);
        solvedAtUs = nowUs;
        solveAtUs = nowUs + SOLVE_US * 3 / 4 + random.nextLong(SOLVE_US / 2);
        final double weight = 1 - Math.exp(-elapsedUs / CapacityEstimator.RATE_MEMORY_US);
        fleet.capacities().forEach(CapacityEstimator::clearOffered);
        for (final DemandBucket cell : cells.all()) {
            cell.updateDemand(elapsedUs, weight);
            cell.scalePriorityWeight(
                    settings.get().priorityWeightPerWork()
                            ? cell.work() / serviceTimes.meanRunningTimeUs()
                            : 1);
            cell.offer();
        }
        final CapacityEstimator.Conditions conditions =
                new CapacityEstimator.Conditions(
                        meanPriorityWeight,
                        marginalPriorityWeight,
                        cells.tightestSlackUs(),
                        serviceTimes.meanRunningTimeUs());
        for (final CapacityEstimator capacity : fleet.capacities()) {
            capacity.adjust(elapsedUs, conditions);
        }
        marginalPriorityWeight = fill(cells.all(), marginalPriorityWeight);
    }

    /**
     * Floors first, then cells by priority weight per work while budgets last; returns the last
     * one's over the mean.
     */
    static double fill(DemandBucket[] cells, double otherwise) {
        Arrays.sort(cells, Comparator.comparingDouble(cell -> -cell.weightPerWork()));
        for (final DemandBucket cell : cells) {
            cell.close();
            cell.admit(FLOOR);
        }
        double priorityWeight = 0;
        double work = 0;
        double marginal = otherwise;
        for (final DemandBucket cell : cells) {
            final double part = Math.min(1 - FLOOR, cell.fittingPart());
            cell.admit(part);
            priorityWeight += cell.admitProbability() * cell.rate() * cell.priorityWeight();
            work += cell.admitProbability() * cell.rate() * cell.work();
            if (part > 0 && cell.rate() > 0) {
                marginal = cell.weightPerWork() * work / priorityWeight;
            }
        }
        return marginal;
    }

    /**
     * Expected time to the answer of one more job: run at the learned speed and wait beyond the
     * slots.
     */
    private double expectedUs(WorkerInstance node, long nowUs, PendingRequest request) {
        final double pace = node.pace() / slowStart.capacityFraction(node, nowUs);
        final double width = node.kind().slots();
        final double excess = loads.slotsInUse(node, nowUs) + request.slots() - width;
        // Others' sends are not seen: the nearer to full, the likelier a wait.
        final double waiting = (excess + Math.sqrt(excess * excess + 1)) / 2;
        return pace
                * (request.runningTimeUs() + serviceTimes.meanRunningTimeUs() * waiting / width);
    }

    /**
     * Sampled ready workers, as many with room as wanted if found, best first; resting ones only by
     * need.
     */
    private List<WorkerInstance> draw(PendingRequest request, long nowUs, int wanted) {
        // Guards against leaving a class's placement: these pools hold only workers open to it.
        final WorkerGroup anywhere = request.candidates();
        final WorkerGroup near = request.preferredCandidates();
        final List<WorkerInstance> ready = new ArrayList<>(DRAWS);
        final List<WorkerInstance> resting = new ArrayList<>(DRAWS);
        int withRoom = 0;
        long point = WorkerGroup.pointOf(request.dataKey());
        request.setDataHome(null);
        for (int draw = 0; draw < DRAWS && withRoom < wanted && !anywhere.isEmpty(); draw++) {
            final WorkerGroup pool = draw % 2 == 0 && !near.isEmpty() ? near : anywhere;
            WorkerInstance node = pool.member(random.nextInt(pool.size()));
            if (request.dataKey() != 0) {
                // Where jobs need data that workers keep, draws follow the key's own order of
                // workers.
                final Map.Entry<Long, WorkerInstance> next = anywhere.next(point);
                point = next.getKey() + 1;
                node = next.getValue();
                request.setDataHome(request.dataHome() == null ? node : request.dataHome());
            }
            if (node == request.lastWorker()
                    || ready.contains(node)
                    || !slowStart.allows(node, request, nowUs)) {
                continue;
            }
            withRoom += hasRoom(node, nowUs, request) ? 1 : 0;
            (rests(node, nowUs, request) ? resting : ready).add(node);
        }
        // Guards against fault of all alike: where every worker drawn rests, resting tells nothing.
        final List<WorkerInstance> drawn = ready.isEmpty() ? resting : ready;
        drawn.sort(Comparator.comparingDouble(node -> cost(node, nowUs, request)));
        return drawn;
    }

    private static boolean rests(WorkerInstance node, long nowUs, PendingRequest request) {
        return node.isEjected(request.classIndex(), nowUs);
    }

    private boolean hasRoom(WorkerInstance node, long nowUs, PendingRequest request) {
        return !rests(node, nowUs, request)
                && loads.slotsInUse(node, nowUs) + request.slots() <= node.kind().slots() + 0.5;
    }

    /** Expected time to the answer, longer by the prices that the choice of this worker brings. */
    private double cost(WorkerInstance node, long nowUs, PendingRequest request) {
        final double price =
                (node.endpoint().zone() == settings.get().zone()
                                ? 0
                                : settings.get().crossZonePrice())
                        + (request.dataHome() == null || node == request.dataHome()
                                ? 0
                                : settings.get().dataTransferPrice());
        return expectedUs(node, nowUs, request) * (1 + CROSSING * price);
    }

    @Override
    public void requestArrived(long nowUs, int requestId, Job job, long deadlineUs) {
        final double needed = PendingRequest.slotsOf(job);
        final boolean over =
                job.tenant() < tenants.length
                        && !tenants[job.tenant()].take(nowUs, job.clientRetry() ? 0 : 1);
        final DemandBucket cell = cells.of(job.requestClass(), needed, over);
        if (job.runningTimeHintUs() > 0) {
            serviceTimes.hintReceived(cell.owner(), job.runningTimeHintUs());
        }
        // What is missing of its time tells of its first try; more than two advised retries, of
        // impatience.
        final long leftUs = deadlineUs - nowUs;
        final long ageUs = cell.owner().learnTimeout(leftUs) - leftUs;
        final long retriesUs = 2 * settings.get().limits().maxRetryAfterUs();
        final boolean again =
                job.clientRetry()
                        || ageUs <= cell.owner().inTimeUs(cell.owner().runningTimeUs()) + retriesUs;
        final long firstUs = again ? nowUs - ageUs : nowUs;
        final PendingRequest request =
                new PendingRequest(
                        requestId, cell, job, firstUs, deadlineUs, settings.get().limits());
        if (nowUs - firstUs > request.inTimeUs()) {
            giveUp(request, nowUs);
            return;
        }
        serviceTimes.jobArrived(needed);
        if (!cell.admitNext()) {
            giveUp(request, nowUs);
            return;
        }
        open.put(requestId, request);
        attempt(request, nowUs);
    }

    /** Sends the request's next attempt if it may and can; ends or holds it otherwise. */
    private void attempt(PendingRequest request, long nowUs) {
        if (isOver(request, nowUs)) {
            giveUp(request, nowUs);
            return;
        }
        final WorkerInstance best = request.bestReported();
        final boolean open =
                best != null && best.isDispatchable() && slowStart.allows(best, request, nowUs);
        if (open && (request.queryRounds() >= ROUNDS || hasRoom(best, nowUs, request))) {
            send(request, best, nowUs);
            return;
        }
        final List<WorkerInstance> drawn = draw(request, nowUs, 2);
        // Guards against old news: the sooner jobs end, and the more dispatchers send, the sooner
        // it is old.
        final double oldUs =
                STALE_RUNS * serviceTimes.meanRunningTimeUs() / settings.get().dispatchers();
        if (settings.get().canQueryLoad()
                && drawn.size() > 1
                && request.queryRounds() < ROUNDS
                && nowUs - Math.min(drawn.get(0).otherSlotsAtUs(), drawn.get(1).otherSlotsAtUs())
                        > oldUs) {
            ask(request, draw(request, nowUs, ASKED));
        } else if (open
                && (drawn.isEmpty()
                        || cost(best, nowUs, request) < cost(drawn.get(0), nowUs, request))) {
            send(request, best, nowUs);
        } else if (!drawn.isEmpty()) {
            send(request, drawn.get(0), nowUs);
        }
    }

    private void ask(PendingRequest request, List<WorkerInstance> drawn) {
        final List<WorkerInstance> asked = drawn.subList(0, Math.min(ASKED, drawn.size()));
        request.startQueries(asked);
        asked.forEach(node -> actions.queryLoad(node.id()));
    }

    @Override
    public void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report) {
        final WorkerInstance node = fleet.find(workerId);
        if (node == null) {
            return;
        }
        loads.reported(node, report, nowUs);
        if (outcome != Outcome.SERVED) {
            learnHealth(node, nowUs, outcome);
        }
        final PendingRequest request = node.pollQueryingRequest();
        if (request == null || !request.endQuery(node)) {
            return;
        }
        if (outcome == Outcome.SERVED
                && (request.bestReported() == null
                        || cost(node, nowUs, request)
                                < cost(request.bestReported(), nowUs, request))) {
            request.setBestReported(node);
        }
        if (!request.hasPendingQueries() && !request.hasAttemptInFlight()) {
            attempt(request, nowUs);
        }
    }

    private void send(PendingRequest request, WorkerInstance node, long nowUs) {
        request.startAttempt(node, nowUs);
        node.reserveSlots(request.slots());
        slowStart.attemptSent(node, request, nowUs);
        actions.send(request.id(), node.id(), request.deadlineUs());
    }

    /** Guards against a doubled effect: what the class allows once an attempt may have run. */
    private static boolean mayRepeat(PendingRequest request, long nowUs) {
        return switch (request.requestClass().idempotency()) {
            case SAFE -> true;
            case KEYED -> !request.mayHaveRun() || nowUs < request.deduplicatedUntilUs();
            case UNSAFE -> !request.mayHaveRun();
        };
    }

    /**
     * The one final answer, at once: refused where a retry as advised can do no harm, else failed.
     */
    private void giveUp(PendingRequest request, long nowUs) {
        close(request);
        final long adviceUs = settings.get().limits().maxRetryAfterUs();
        final boolean dropped =
                request.requestClass().idempotency() == Idempotency.KEYED
                        && !request.isBoundToGroup()
                        && nowUs + adviceUs < request.deduplicatedUntilUs();
        if (request.requestClass().idempotency() == Idempotency.SAFE
                || !request.mayHaveRun()
                || dropped) {
            actions.reject(request.id(), adviceUs);
        } else {
            actions.fail(request.id());
        }
    }

    private void close(PendingRequest request) {
        request.close();
        if (!request.hasAttemptInFlight()) {
            open.remove(request.id());
        }
    }

    @Override
    public void clientLeft(long nowUs, int requestId) {
        if (open.containsKey(requestId)) {
            close(open.get(requestId));
        }
    }

    @Override
    public void jobProgressed(
            long nowUs, int requestId, int attempt, int workerId, double fractionDone) {
        final Attempt told =
                open.containsKey(requestId) ? open.get(requestId).findAttempt(attempt) : null;
        if (told != null) {
            told.progressReported(nowUs, fractionDone);
            told.worker().progressReported(nowUs);
        }
    }

    @Override
    public void attemptEnded(
            long nowUs,
            int requestId,
            int number,
            int workerId,
            Outcome outcome,
            long elapsedUs,
            boolean requestClosed,
            LoadReport report) {
        final PendingRequest request = open.get(requestId);
        final Attempt attempt = request == null ? null : request.findAttempt(number);
        if (attempt == null) {
            return;
        }
        request.endAttempt(attempt);
        final WorkerInstance node = attempt.worker();
        final boolean served = outcome == Outcome.SERVED;
        final boolean full = outcome == Outcome.FULL;
        node.releaseSlots(request.slots());
        loads.reported(node, report, nowUs);
        // Guards the workers' name against clients whose requests nobody can use, or that give up
        // early.
        final boolean unusable = outcome == Outcome.UNUSABLE;
        final boolean early =
                outcome == Outcome.TIMED_OUT
                        && request.deadlineUs() < request.firstSentUs() + request.inTimeUs();
        if (!unusable && !early) {
            learnHealth(node, nowUs, outcome);
        }
        if (!fleet.contains(workerId)) {
            closeIdle(workerId);
        }
        if (full) {
            node.progressReported(nowUs);
            loads.rejectedAsFull(node, nowUs);
        } else if (served) {
            node.progressReported(nowUs);
            node.jobFinished(request.work());
            serviceTimes.attemptServed(
                    request, attempt, nowUs, elapsedUs, slowStart.capacityFraction(node, nowUs));
        }
        // Guards against closing on errors and breaks: they tell of one worker, not of too much
        // work.
        if (!attempt.isLate()
                && (served
                        || full
                        || outcome == Outcome.CONNECT_FAILED
                        || outcome == Outcome.TIMED_OUT && !requestClosed && !early)) {
            node.addEvidence(
                    served
                            ? CapacityEstimator.Evidence.IN_TIME
                            : full
                                    ? CapacityEstimator.Evidence.REJECTED_AS_FULL
                                    : CapacityEstimator.Evidence.OVERLOAD,
                    request.priorityWeight());
        }
        if (!neverRan(outcome) && !served && !request.mayHaveRun()) {
            bind(request, attempt);
        }
        if (requestClosed || request.isClosed()) {
            close(request);
        } else if (unusable) {
            close(request);
            actions.fail(request.id());
        } else if (!request.hasAttemptInFlight()) {
            attempt(request, nowUs);
        }
    }

    /** Guards against taking 'full' as proof where a worker may shed what it had begun. */
    private boolean neverRan(Outcome outcome) {
        return outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.NOT_SENT
                || outcome == Outcome.FULL && !settings.get().fullMayHaveRun();
    }

    /**
     * From now on it may have had its effect: a keyed one stays among those who would drop a
     * repeat.
     */
    private void bind(PendingRequest request, Attempt attempt) {
        final RequestClass stated = request.requestClass();
        request.markMayHaveRun(
                attempt.sentUs() + stated.deduplicationWindowUs(),
                stated.idempotency() == Idempotency.KEYED
                        ? fleet.deduplicationGroup(stated, attempt.worker().endpoint())
                        : Optional.empty());
    }

    @Override
    public void workerReportedUnresponsive(long nowUs, int workerId, int requestClass) {
        final WorkerInstance node = fleet.find(workerId);
        if (node != null) {
            node.unresponsiveUntil(requestClass, nowUs + SILENT_REST_US);
        }
    }

    @Override
    public void timerFired(long nowUs, long token) {
        actions.startTimer(0, tickUs);
        if (nowUs >= askAtUs) {
            askAtUs = Long.MAX_VALUE;
            actions.pollEndpointList();
        }
        if (nowUs >= solveAtUs) {
            slowStart.refill(fleet.workers(), nowUs);
            solve(nowUs);
        }
        for (final PendingRequest request : open.values().toArray(new PendingRequest[0])) {
            if (!request.hasAttemptInFlight()) {
                attempt(request, nowUs);
            }
            request.attemptsInFlight().forEach(attempt -> watch(request, attempt, nowUs));
        }
    }

    /**
     * Guards against slow and silent workers: a late job counts, also against its worker, before it
     * ends.
     */
    private void watch(PendingRequest request, Attempt attempt, long nowUs) {
        final WorkerInstance node = attempt.worker();
        final double waitedUs = serviceTimes.waitedUs(request, attempt, nowUs);
        final double waitUs = attempt.sentUs() - request.firstSentUs() + waitedUs;
        final double mayWaitUs = request.inTimeUs() - request.runningTimeUs();
        if (!attempt.isLate() && waitUs > mayWaitUs) {
            attempt.markLate();
            if (!request.isClosed() && !node.isStalled(nowUs)) {
                node.addEvidence(CapacityEstimator.Evidence.OVERLOAD, request.priorityWeight());
            }
            serviceTimes.attemptLate(attempt);
        }
        // Where slots seem free but no job of the class starts, others need not find out one by
        // one.
        if (!attempt.isUnresponsive()
                && settings.get().reportsJobStart()
                && attempt.startReportedAtUs() == 0
                && waitedUs > SILENT_RUNS * serviceTimes.meanRunningTimeUs()
                && loads.slotsInUse(node, nowUs) < node.kind().slots()) {
            attempt.markUnresponsive();
            if (settings.get().allowsPeerMessages()
                    && !node.isUnresponsive(request.classIndex(), nowUs)) {
                actions.reportUnresponsive(node.id(), request.classIndex());
            }
            workerReportedUnresponsive(nowUs, node.id(), request.classIndex());
        }
        // Guards against a worker that hangs: one that tells of progress and has stopped to stands
        // still.
        // Guards against leaving out a worker that is well for one job's broken stream: others'
        // notes count.
        final long sinceUs = (long) (nowUs - STILL_NOTES * settings.get().progressUs());
        final boolean pendingEvents =
                settings.get().progressUs() > 0
                        && attempt.lastProgressUs() < sinceUs
                        && (attempt.startReportedAtUs() > 0
                                || node.lastProgressUs() < attempt.sentUs());
        if (pendingEvents && !attempt.isStalled()) {
            attempt.markStalled();
            if (node.lastProgressUs() < sinceUs) {
                node.stalledUntil(nowUs + SILENT_REST_US);
            }
        }
        // Guards against a wait behind others' jobs, which no dispatcher sees: the job may start
        // elsewhere.
        final boolean waits =
                settings.get().reportsJobStart()
                        && attempt.startReportedAtUs() == 0
                        && waitUs > UNSTARTED_COPY * mayWaitUs;
        if ((pendingEvents || waits || node.isStalled(nowUs))
                && !request.isClosed()
                && request.hasOneAttemptInFlight()) {
            copy(request, attempt, nowUs);
        }
    }

    /**
     * Whether no more may be sent for it; fewer attempts allowed hold for those under way, more
     * never.
     */
    private boolean isOver(PendingRequest request, long nowUs) {
        return !mayRepeat(request, nowUs)
                || request.attemptsSent()
                        >= Math.min(settings.get().limits().maxAttempts(), request.maxAttempts())
                || nowUs
                        >= Math.min(
                                request.firstSentUs() + request.inTimeUs(),
                                request.deadlineUs() - 2 * tickUs);
    }

    /**
     * Sends a hedged request to where there is room now, if the class allows it and it can still be
     * in time.
     */
    private void copy(PendingRequest request, Attempt attempt, long nowUs) {
        final RequestClass stated = request.requestClass();
        final boolean binds = stated.idempotency() == Idempotency.KEYED && !request.mayHaveRun();
        if (!settings.get().limits().allowsHedging()
                || !request.allowsHedging()
                || stated.idempotency() == Idempotency.UNSAFE
                || binds && nowUs >= attempt.sentUs() + stated.deduplicationWindowUs()
                || isOver(request, nowUs)) {
            return;
        }
        WorkerInstance to = request.bestReported();
        request.setBestReported(null);
        if (to == null && !request.hasPendingQueries() && nowUs >= request.nextHedgeQueryUs()) {
            // Guards against a doubled effect: the first copy may run yet, so a keyed one stays in
            // its group.
            if (binds) {
                request.bindToGroup(fleet.deduplicationGroup(stated, attempt.worker().endpoint()));
            }
            final List<WorkerInstance> drawn = draw(request, nowUs, 2);
            if (binds) {
                request.bindToGroup(Optional.empty());
            }
            // Guards against copies that crowd full workers: a report of before tells nothing of
            // room now.
            if (settings.get().canQueryLoad()) {
                request.setNextHedgeQueryUs(
                        drawn.isEmpty() ? 0 : nowUs + (long) serviceTimes.meanRunningTimeUs());
                ask(request, drawn);
            } else if (!drawn.isEmpty()) {
                to = drawn.get(0);
            }
        }
        if (to != null
                && to.isDispatchable()
                && hasRoom(to, nowUs, request)
                && slowStart.allows(to, request, nowUs)) {
            if (binds) {
                bind(request, attempt);
            }
            send(request, to, nowUs);
        }
    }
}
