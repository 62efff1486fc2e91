package cresschute.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

    /**
     * Memory of arrival and finish rates, us: a few solves, so that a rare class's burst does not
     * rule.
     */
    private static final double RATE_MEMORY_US = 1_500_000;

    /** Memory of the share of bad endings, us. */
    private static final double ENDINGS_MEMORY_US = 1_000_000;

    /** Endings needed before their share is believed. */
    private static final double ENDINGS_BELIEVED = 5;

    /**
     * Jobs finished within the memory of rates that make it steady; where they are fewer, it is
     * longer.
     */
    private static final double STEADY_JOBS = 15;

    /**
     * Share of worth ending badly that is borne while all work is of one worth, and the least part
     * of it.
     */
    private static final double BAD_SHARE_BORNE = 0.1;

    private static final double MIN_MARGIN = 0.2;

    /**
     * How bad a 'full' is beside a late answer: it comes at once and another worker may have room.
     */
    private static final double FULL_WEIGHT = 0.1;

    /** How far a solve narrows for each unit of bad share beyond that, and the most it narrows. */
    private static final double NARROW_GAIN = 0.5;

    private static final double MAX_DECREASE = 0.2;

    /** Growth of a budget that binds, a solve, while no ending is bad. */
    private static final double WIDEN = 0.05;

    /**
     * Share of the slots, as far as known, that a budget keeps busy at the least: a queue still
     * drains.
     */
    private static final double DRAIN = 0.8;

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

    /** Weight of one sample in the running time of a class. */
    private static final double RUN_WEIGHT = 0.03;

    /** Weight kept by a latency above the estimate where no start is told: it holds waiting too. */
    private static final double WAITED_WEIGHT = 0.2;

    /**
     * Most that one long run says of a worker; runs until a job without notices counts as waiting.
     */
    private static final double MAX_RATIO = 3;

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
     * Part of the stated cold budget that is used: estimates of work and capacity may be off by
     * this.
     */
    private static final double COLD_SAFETY = 0.4;

    /**
     * Largest job for a cold worker, by what all may send it and what it bears: jobs may be far
     * larger.
     */
    private static final double COLD_LARGEST = 0.5;

    private static final double COLD_LARGEST_BORNE = 0.18;

    /**
     * Pause before a failed list call is repeated, us, jittered; far inside the limit for asking.
     */
    private static final long ASK_AGAIN_US = 1_000_000;

    /**
     * An even part of a share times this is within it: traffic is not spread evenly over
     * dispatchers.
     */
    private static final double SHARE_SLACK = 1.5;

    private DispatchSettings settings;
    private final DispatcherActions actions;
    private final SplittableRandom random;
    private long tickUs;
    private final DemandBuckets cells = new DemandBuckets();
    private QuotaMeter[] tenants;
    private final WorkerIndex fleet;
    private final Map<Integer, PendingRequest> open = new LinkedHashMap<>();
    private double meanRunUs;
    private double meanPriorityWeight;
    private double meanSlots = 1;
    private double coldTokens;
    private double marginalPriorityWeight = 1;
    private long solveAtUs;
    private long solvedAtUs;
    private long askAtUs = Long.MAX_VALUE;

    /** One instance for one dispatcher; {@code seed} feeds all its chance. */
    public Dispatcher(DispatchSettings settings, long seed, DispatcherActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.fleet =
                new WorkerIndex(settings.classes().stream().map(RequestClass::placement).toList());
        addClasses(null);
    }

    /**
     * Takes in classes that it has no state of yet, and what follows from them all; keeps such
     * meters.
     */
    private void addClasses(QuotaMeter[] kept) {
        final int before = cells.classes.size();
        final int count = settings.classes().size();
        long tightestUs = 2 * MAX_TICK_US;
        for (int c = 0; c < count; c++) {
            final RequestClass stated = settings.classes().get(c);
            tightestUs = Math.min(tightestUs, stated.latencyObjectiveUs());
            if (c >= before) {
                final ClassState added = new ClassState(c, stated, fleet, settings.zone());
                meanRunUs += before == 0 ? added.runUs / count : 0;
                meanPriorityWeight += before == 0 ? stated.priorityWeight() / count : 0;
                cells.add(added, settings.overQuotaWeightFactor());
            }
        }
        tickUs = Math.max(MIN_TICK_US, tightestUs / 2);
        tenants =
                kept != null
                        ? kept
                        : settings.tenants().stream()
                                .map(
                                        tenant ->
                                                new QuotaMeter(
                                                        SHARE_SLACK
                                                                * tenant.quotaPerS()
                                                                / settings.dispatchers()
                                                                / 1e6))
                                .toArray(QuotaMeter[]::new);
    }

    /**
     * What was learned stays; new classes start as at a start; customers' shares go on where
     * unchanged.
     */
    @Override
    public void settingsChanged(long nowUs, DispatchSettings next) {
        if (!next.canReplace(settings)) {
            throw new IllegalArgumentException(
                    "new settings keep the classes, zones and kinds told before");
        }
        final boolean sameTenants =
                next.tenants().equals(settings.tenants())
                        && next.dispatchers() == settings.dispatchers();
        settings = next;
        fleet.grow(next.classes().stream().map(RequestClass::placement).toList());
        addClasses(sameTenants ? tenants : null);
    }

    @Override
    public void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries) {
        if (form == EndpointListForm.FAILED) {
            askAtUs = nowUs + ASK_AGAIN_US / 2 + random.nextLong(ASK_AGAIN_US);
            return;
        }
        fleet.nodes.values().forEach(node -> node.unnamed = form != EndpointListForm.CHANGES);
        entries.forEach(entry -> update(nowUs, entry));
        fleet.nodes.values().stream().filter(node -> node.unnamed).forEach(this::dismiss);
        fleet.nodes.values().removeIf(node -> !node.pooled);
        if (solveAtUs == 0) {
            solvedAtUs = nowUs;
            solveAtUs = nowUs + SOLVE_US;
            askAtUs =
                    settings.endpointListIsPolled()
                            ? nowUs + random.nextLong(ASK_AGAIN_US)
                            : Long.MAX_VALUE;
            actions.startTimer(0, tickUs);
        }
    }

    private void update(long nowUs, Worker entry) {
        WorkerInstance node = fleet.nodes.get(entry.id());
        if (node != null && !node.isSameRun(entry)) {
            // A restart forgets what was learned of the process before it, but not the attempts
            // still out.
            fleet.leave(node);
            node = null;
        }
        if (node == null) {
            node = fleet.node(entry);
            node.coldSinceUs = nowUs;
            // Guards against all dispatchers sending at once: each begins at another point of a
            // mean job.
            coldTokens = coldTokens < 0 ? coldTokens : -random.nextDouble() * meanRunUs * meanSlots;
            fleet.nodes.put(entry.id(), node);
        }
        node.listed = entry;
        node.unnamed = false;
        if (entry.state() != WorkerState.READY) {
            dismiss(node);
            return;
        }
        fleet.join(node);
        if (settings.weightSource() == WeightSource.LIVE && entry.weight() > 0) {
            learnOthers(node, nowUs, node.kind.heldAt(entry.weight()) * meanSlots);
        }
    }

    /**
     * A draining, gone or unlisted worker leaves every pool at once: nothing new can be sent to it.
     */
    private void dismiss(WorkerInstance node) {
        fleet.leave(node);
        closeIdle(node.listed.id());
    }

    /**
     * Guards against holding up a drain by idle connections, also after late endings; where it is
     * stated.
     */
    private void closeIdle(int workerId) {
        if (settings.closeOnDrainWithinUs() < DispatchSettings.UNLIMITED) {
            actions.closeIdleConnections(workerId);
        }
    }

    /**
     * Guards against sending in vain: a worker rests after failed connections, errors in a row or
     * 'full'.
     */
    private void learnHealth(WorkerInstance node, long nowUs, Outcome outcome) {
        switch (outcome) {
            case SERVED, FULL -> node.failures = 0;
            // A connection that breaks under a job is chance too: a process that dies refuses the
            // next one.
            case ERROR, TIMED_OUT, BROKEN -> node.failures++;
            case CONNECT_FAILED -> node.failures += ERRORS_BORNE;
            default -> {}
        }
        final int times = Math.min(node.failures / ERRORS_BORNE, REST_TIMES);
        final long fullUs = outcome == Outcome.FULL ? (long) meanRunUs : 0;
        node.ejectedUntilUs = nowUs + (times == 0 ? fullUs : REST_US << times - 1);
    }

    /** The least share of its capacity that a worker has by now. */
    private double warmth(WorkerInstance node, long nowUs) {
        final SlowStartSettings cold = settings.slowStart();
        final long ageUs = Math.max(0, nowUs - node.listed.startedAtUs());
        final boolean isCold = node.listed.startedAtUs() > 0 && ageUs < cold.warmUpDurationUs();
        return isCold
                ? cold.initialCapacityFraction()
                        + (1 - cold.initialCapacityFraction()) * ageUs / cold.warmUpDurationUs()
                : 1;
    }

    /** Work that this dispatcher may send a cold worker in each window of the rule, slot-us. */
    private double coldPart(WorkerInstance node, long nowUs) {
        final SlowStartSettings cold = settings.slowStart();
        return COLD_SAFETY
                * cold.overloadFactor()
                * warmth(node, nowUs)
                * node.kind.slots()
                / node.kind.runSlowness
                * cold.overloadAfterUs()
                / settings.dispatchers();
    }

    /**
     * Guards against pushing a cold worker over: this dispatcher's even part of the stated budget.
     */
    private boolean coldAllows(WorkerInstance node, long nowUs, PendingRequest request) {
        final double work = request.cautiousWork();
        final double part = coldPart(node, nowUs);
        final double own = node.coldTokens(nowUs, part, settings.slowStart().overloadAfterUs());
        // The more share the budget, the less is a part beside a job: all count together, one job
        // ahead each.
        final double others = 1 - 1.0 / settings.dispatchers();
        final double mean = meanRunUs * meanSlots;
        final double all = part * settings.dispatchers();
        final double borne = mean * settings.slowStart().toleratedJobs(all / COLD_SAFETY / mean);
        return warmth(node, nowUs) == 1
                || coldTokens >= 0
                        && own >= work - others * (work + mean)
                        && work <= Math.max(COLD_LARGEST * all, COLD_LARGEST_BORNE * borne);
    }

    private void learnOthers(WorkerInstance node, long nowUs, double slotsInUse) {
        // A report is late: what was sent since the last one is not in it yet.
        node.others = Math.max(0, slotsInUse - Math.min(node.ownSlots, node.ownSlotsAtReport));
        node.ownSlotsAtReport = node.ownSlots;
        node.othersAtUs = nowUs;
        node.budgets.forEach(pool -> pool.learnBusy(slotsInUse, node.kind.slots()));
        node.kind.learnOthers(node.others);
    }

    private void learnReport(WorkerInstance node, long nowUs, LoadReport report) {
        final double inUse = node.kind.inUseBy(report, meanSlots);
        if (inUse >= 0) {
            learnOthers(node, nowUs, inUse);
        }
    }

    /**
     * Slots of a worker in use or waited for: own ones known, others' from a report that fades with
     * age.
     */
    private double slotsInUse(WorkerInstance node, long nowUs) {
        final double trust = Math.exp((node.othersAtUs - nowUs) / meanRunUs);
        return node.ownSlots
                + node.kind.usualOthers
                + trust * (node.others - node.kind.usualOthers);
    }

    private void learnRun(PendingRequest request, Attempt attempt, long nowUs, long elapsedUs) {
        // Guards against a start that was read only with the end: it tells of no time between them.
        final boolean told =
                attempt.startReportedAtUs > 0
                        && attempt.startReportedAtUs < nowUs
                        && attempt.fractionDoneAtStartReport < 0.95;
        final double runUs =
                told
                        ? (nowUs - attempt.startReportedAtUs)
                                / (1 - attempt.fractionDoneAtStartReport)
                        : elapsedUs;
        if (request.hintUs == 0) {
            final double weight =
                    RUN_WEIGHT * (told || runUs < request.runUs() ? 1 : WAITED_WEIGHT);
            request.owner.learn(runUs, weight);
        }
        meanRunUs += RUN_WEIGHT * (runUs - meanRunUs);
        if (told) {
            final double ratio = Math.min(MAX_RATIO, runUs / request.runUs());
            attempt.node.learnRun(ratio * warmth(attempt.node, nowUs));
        }
    }

    /** How long a job has waited at its worker, as far as start and progress notices tell. */
    private double waitedUs(PendingRequest request, Attempt attempt, long nowUs) {
        if (attempt.startReportedAtUs > 0) {
            final double ranUs =
                    attempt.fractionDoneAtStartReport * request.runUs() * attempt.node.pace();
            return attempt.startReportedAtUs - attempt.sentUs - ranUs;
        }
        final double silentUs =
                settings.progressUs() > 0 ? settings.progressUs() : MAX_RATIO * request.runUs();
        return nowUs - attempt.sentUs - (settings.reportsJobStart() ? 0 : silentUs);
    }

    /** One ending as evidence for every budget the worker belongs to, by its worth. */
    private static void judge(WorkerInstance node, double priorityWeight, double bad) {
        node.budgets.forEach(pool -> pool.end(priorityWeight, bad));
    }

    private void learnBudget(WorkerGroup pool, double fade, double tightestUs, double few) {
        final double badShare =
                pool.badEndings / Math.max(ENDINGS_BELIEVED * meanPriorityWeight, pool.endings);
        // Guards against work of little worth making worthy jobs late: the less it brings, the
        // sooner.
        final double borne =
                BAD_SHARE_BORNE * Math.max(MIN_MARGIN, Math.min(1, marginalPriorityWeight));
        if (badShare > borne) {
            // Guards against narrowing on the same endings for as many solves more as they are
            // remembered.
            final double cut = Math.min(MAX_DECREASE, NARROW_GAIN * (badShare - borne)) / few;
            // Guards against closing far below capacity on bad endings that are not from load.
            final double narrowed = Math.min(pool.budget, pool.offered) * (1 - cut);
            final double drain = DRAIN * Math.min(1, tightestUs / (pool.backlog * meanRunUs));
            pool.budget = Math.max(narrowed, drain * pool.finishedRate / pool.busyShare());
        } else if (pool.offered > pool.budget) {
            pool.budget *= 1 + WIDEN * (1 - badShare / borne);
        }
        pool.endings *= fade;
        pool.badEndings *= fade;
    }

    private void solve(long nowUs) {
        final double elapsedUs = Math.max(1, nowUs - solvedAtUs);
        solvedAtUs = nowUs;
        solveAtUs = nowUs + SOLVE_US * 3 / 4 + random.nextLong(SOLVE_US / 2);
        final double weight = 1 - Math.exp(-elapsedUs / RATE_MEMORY_US);
        final double coldParts =
                fleet.nodes.values().stream()
                        .filter(node -> node.pooled)
                        .mapToDouble(node -> warmth(node, nowUs) < 1 ? coldPart(node, nowUs) : 0)
                        .sum();
        final double windows = elapsedUs / Math.max(1, settings.slowStart().overloadAfterUs());
        coldTokens = Math.min(coldParts, coldTokens + windows * coldParts);
        fleet.budgets().forEach(pool -> pool.offered = 0);
        for (final DemandBucket cell : cells.all()) {
            cell.rate += weight * (cell.arrivals / elapsedUs - cell.rate);
            cell.arrivals = 0;
            cell.work = cell.slots * cell.owner.runUs;
            cell.priorityWeight =
                    cell.owner.stated.priorityWeight()
                            * cell.share
                            * (settings.priorityWeightPerWork() ? cell.work / meanRunUs : 1);
            cell.owner.budgets.forEach(pool -> pool.offered += cell.rate * cell.work);
        }
        final double tightestUs =
                cells.classes.stream().mapToDouble(ClassState::mayWaitUs).min().orElse(0);
        for (final WorkerGroup pool : fleet.budgets()) {
            // Guards against lumps: where few jobs end, as with many dispatchers, they are
            // remembered longer.
            final double few = pool.learnFinished(elapsedUs, RATE_MEMORY_US, STEADY_JOBS);
            learnBudget(pool, Math.exp(-elapsedUs / ENDINGS_MEMORY_US / few), tightestUs, few);
            pool.left = pool.budget;
        }
        marginalPriorityWeight = fill(cells.all(), marginalPriorityWeight);
    }

    /**
     * Floors first, then cells by worth per work while budgets last; tells the last one's over the
     * mean.
     */
    static double fill(DemandBucket[] cells, double otherwise) {
        Arrays.sort(cells, Comparator.comparingDouble(cell -> -cell.priorityWeight / cell.work));
        for (final DemandBucket cell : cells) {
            cell.admit = 0;
            cell.take(FLOOR);
        }
        double priorityWeight = 0;
        double work = 0;
        double marginal = otherwise;
        for (final DemandBucket cell : cells) {
            final double wanted = Math.max(1e-9, cell.rate * cell.work);
            final double part = Math.min(1 - FLOOR, cell.owner.room() / wanted);
            cell.take(part);
            priorityWeight += cell.admit * cell.rate * cell.priorityWeight;
            work += cell.admit * cell.rate * cell.work;
            if (part > 0 && cell.rate > 0) {
                marginal = cell.priorityWeight / cell.work * work / priorityWeight;
            }
        }
        return marginal;
    }

    /**
     * Expected time to the answer of one more job: run at the learned speed and wait beyond the
     * slots.
     */
    private double expectedUs(WorkerInstance node, long nowUs, PendingRequest request) {
        final double pace = node.pace() / warmth(node, nowUs);
        final double width = node.kind.slots();
        final double excess = slotsInUse(node, nowUs) + request.slots - width;
        // Others' sends are not seen: the nearer to full, the likelier a wait.
        final double waiting = (excess + Math.sqrt(excess * excess + 1)) / 2;
        return pace * (request.runUs() + meanRunUs * waiting / width);
    }

    /**
     * Sampled ready workers, as many with room as wanted if found, best first; resting ones only by
     * need.
     */
    private List<WorkerInstance> draw(PendingRequest request, long nowUs, int wanted) {
        // Guards against leaving a class's placement: these pools hold only workers open to it.
        final WorkerGroup anywhere = request.bound == null ? request.owner.allowed : request.bound;
        final WorkerGroup near = request.bound == null ? request.owner.near : anywhere;
        final List<WorkerInstance> ready = new ArrayList<>(DRAWS);
        final List<WorkerInstance> resting = new ArrayList<>(DRAWS);
        int withRoom = 0;
        long point = WorkerGroup.pointOf(request.dataKey);
        request.home = null;
        for (int draw = 0;
                draw < DRAWS && withRoom < wanted && !anywhere.members.isEmpty();
                draw++) {
            final WorkerGroup pool = draw % 2 == 0 && !near.members.isEmpty() ? near : anywhere;
            WorkerInstance node = pool.members.get(random.nextInt(pool.members.size()));
            if (request.dataKey != 0) {
                // Where jobs need data that workers keep, draws follow the key's own order of
                // workers.
                final Map.Entry<Long, WorkerInstance> next = anywhere.next(point);
                point = next.getKey() + 1;
                node = next.getValue();
                request.home = request.home == null ? node : request.home;
            }
            if (node == request.last || ready.contains(node) || !coldAllows(node, nowUs, request)) {
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
        return Math.max(
                        node.stalledUntilUs,
                        Math.max(
                                node.ejectedUntilUs, node.unresponsiveUntilUs[request.owner.index]))
                > nowUs;
    }

    private boolean hasRoom(WorkerInstance node, long nowUs, PendingRequest request) {
        return !rests(node, nowUs, request)
                && slotsInUse(node, nowUs) + request.slots <= node.kind.slots() + 0.5;
    }

    /** Expected time to the answer, longer by the prices that the choice of this worker brings. */
    private double cost(WorkerInstance node, long nowUs, PendingRequest request) {
        final double price =
                (node.listed.zone() == settings.zone() ? 0 : settings.crossZonePrice())
                        + (request.home == null || node == request.home
                                ? 0
                                : settings.dataTransferPrice());
        return expectedUs(node, nowUs, request) * (1 + CROSSING * price);
    }

    @Override
    public void requestArrived(long nowUs, int requestId, Job job, long deadlineUs) {
        final double needed = job.slots() > 0 ? job.slots() : 1;
        final boolean over =
                job.tenant() < tenants.length
                        && !tenants[job.tenant()].take(nowUs, job.clientRetry() ? 0 : 1);
        final DemandBucket cell = cells.of(job.requestClass(), needed, over);
        if (job.runningTimeHintUs() > 0) {
            cell.owner.learn(job.runningTimeHintUs(), RUN_WEIGHT);
        }
        // What is missing of its time tells of its first try; more than two advised retries, of
        // impatience.
        cell.owner.longestTryUs = Math.max(cell.owner.longestTryUs, deadlineUs - nowUs);
        final long ageUs = cell.owner.longestTryUs - (deadlineUs - nowUs);
        final long retriesUs = 2 * settings.limits().maxRetryAfterUs();
        final boolean again =
                job.clientRetry() || ageUs <= cell.owner.inTimeUs(cell.owner.runUs) + retriesUs;
        final long firstUs = again ? nowUs - ageUs : nowUs;
        final PendingRequest request =
                new PendingRequest(
                        requestId,
                        cell.owner,
                        cell.priorityWeight,
                        needed,
                        job.runningTimeHintUs(),
                        job.dataKey(),
                        firstUs,
                        deadlineUs,
                        settings.limits());
        if (nowUs - firstUs > request.inTimeUs()) {
            giveUp(request, nowUs);
            return;
        }
        cell.arrivals++;
        meanSlots += RUN_WEIGHT / 2 * (needed - meanSlots);
        cell.credit += cell.admit;
        if (cell.credit < 1) {
            giveUp(request, nowUs);
            return;
        }
        cell.credit--;
        open.put(requestId, request);
        attempt(request, nowUs);
    }

    /** Sends the request's next attempt if it may and can; ends or holds it otherwise. */
    private void attempt(PendingRequest request, long nowUs) {
        if (isOver(request, nowUs)) {
            giveUp(request, nowUs);
            return;
        }
        final WorkerInstance best = request.answered;
        final boolean open = best != null && best.pooled && coldAllows(best, nowUs, request);
        if (open && (request.rounds >= ROUNDS || hasRoom(best, nowUs, request))) {
            send(request, best, nowUs);
            return;
        }
        final List<WorkerInstance> drawn = draw(request, nowUs, 2);
        // Guards against old news: the sooner jobs end, and the more dispatchers send, the sooner
        // it is old.
        final double oldUs = STALE_RUNS * meanRunUs / settings.dispatchers();
        if (settings.canQueryLoad()
                && drawn.size() > 1
                && request.rounds < ROUNDS
                && nowUs - Math.min(drawn.get(0).othersAtUs, drawn.get(1).othersAtUs) > oldUs) {
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
        request.ask(drawn.stream().limit(ASKED).toList());
        request.asked.forEach(node -> actions.queryLoad(node.listed.id()));
    }

    @Override
    public void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report) {
        final WorkerInstance node = fleet.nodes.get(workerId);
        if (node == null) {
            return;
        }
        learnReport(node, nowUs, report);
        if (outcome != Outcome.SERVED) {
            learnHealth(node, nowUs, outcome);
        }
        final PendingRequest request = node.askers.poll();
        if (request == null || !request.asked.remove(node)) {
            return;
        }
        if (outcome == Outcome.SERVED
                && (request.answered == null
                        || cost(node, nowUs, request) < cost(request.answered, nowUs, request))) {
            request.answered = node;
        }
        if (request.asked.isEmpty() && request.out.isEmpty()) {
            attempt(request, nowUs);
        }
    }

    private void send(PendingRequest request, WorkerInstance node, long nowUs) {
        request.settle();
        final Attempt attempt = new Attempt(request.sent++, node, nowUs);
        request.out.add(attempt);
        request.last = node;
        node.ownSlots += request.slots;
        node.coldTokens -= request.work();
        coldTokens -= warmth(node, nowUs) < 1 ? request.work() : 0;
        actions.send(request.id, node.listed.id(), request.deadlineUs);
    }

    /** Guards against a doubled effect: what the class allows once an attempt may have run. */
    private static boolean mayRepeat(PendingRequest request, long nowUs) {
        return switch (request.owner.stated.idempotency()) {
            case SAFE -> true;
            case KEYED -> !request.mayHaveRun || nowUs < request.repeatUntilUs;
            case UNSAFE -> !request.mayHaveRun;
        };
    }

    /**
     * The one final answer, at once: refused where a retry as advised can do no harm, else failed.
     */
    private void giveUp(PendingRequest request, long nowUs) {
        close(request);
        final long adviceUs = settings.limits().maxRetryAfterUs();
        final boolean dropped =
                request.owner.stated.idempotency() == Idempotency.KEYED
                        && request.bound == null
                        && nowUs + adviceUs < request.repeatUntilUs;
        if (request.owner.stated.idempotency() == Idempotency.SAFE
                || !request.mayHaveRun
                || dropped) {
            actions.reject(request.id, adviceUs);
        } else {
            actions.fail(request.id);
        }
    }

    private void close(PendingRequest request) {
        request.closed = true;
        request.settle();
        if (request.out.isEmpty()) {
            open.remove(request.id);
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
        final Attempt told = open.containsKey(requestId) ? open.get(requestId).find(attempt) : null;
        if (told != null) {
            told.heard(nowUs, fractionDone);
            told.node.heard(nowUs);
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
        final Attempt attempt = request == null ? null : request.find(number);
        if (attempt == null) {
            return;
        }
        request.out.remove(attempt);
        final WorkerInstance node = attempt.node;
        final boolean served = outcome == Outcome.SERVED;
        final boolean full = outcome == Outcome.FULL;
        node.ownSlots = Math.max(0, node.ownSlots - request.slots);
        learnReport(node, nowUs, report);
        // Guards the workers' name against clients whose requests nobody can use, or that give up
        // early.
        final boolean unusable = outcome == Outcome.UNUSABLE;
        final boolean early =
                outcome == Outcome.TIMED_OUT
                        && request.deadlineUs < request.arrivedUs + request.inTimeUs();
        if (!unusable && !early) {
            learnHealth(node, nowUs, outcome);
        }
        if (!fleet.nodes.containsKey(workerId)) {
            closeIdle(workerId);
        }
        if (full) {
            node.heard(nowUs);
            learnOthers(node, nowUs, node.ownSlots + node.kind.slots());
        } else if (served) {
            node.heard(nowUs);
            node.budgets.forEach(pool -> pool.finish(request.work()));
            learnRun(request, attempt, nowUs, elapsedUs);
        }
        // Guards against closing on errors and breaks: they tell of one worker, not of too much
        // work.
        if (!attempt.late
                && (served
                        || full
                        || outcome == Outcome.CONNECT_FAILED
                        || outcome == Outcome.TIMED_OUT && !requestClosed && !early)) {
            judge(node, request.priorityWeight, served ? 0 : full ? FULL_WEIGHT : 1);
        }
        if (!neverRan(outcome) && !served && !request.mayHaveRun) {
            bind(request, attempt);
        }
        if (requestClosed || request.closed) {
            close(request);
        } else if (unusable) {
            close(request);
            actions.fail(request.id);
        } else if (request.out.isEmpty()) {
            attempt(request, nowUs);
        }
    }

    /** Guards against taking 'full' as proof where a worker may shed what it had begun. */
    private boolean neverRan(Outcome outcome) {
        return outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.NOT_SENT
                || outcome == Outcome.FULL && !settings.fullMayHaveRun();
    }

    /**
     * From now on it may have had its effect: a keyed one stays among those who would drop a
     * repeat.
     */
    private void bind(PendingRequest request, Attempt attempt) {
        request.mayHaveRun = true;
        final RequestClass stated = request.owner.stated;
        request.repeatUntilUs = attempt.sentUs + stated.deduplicationWindowUs();
        request.bound =
                stated.idempotency() == Idempotency.KEYED
                        ? fleet.groupOf(stated, attempt.node.listed)
                        : null;
    }

    @Override
    public void workerReportedUnresponsive(long nowUs, int workerId, int requestClass) {
        final WorkerInstance node = fleet.nodes.get(workerId);
        if (node != null && requestClass >= 0 && requestClass < node.unresponsiveUntilUs.length) {
            node.unresponsiveUntilUs[requestClass] = nowUs + SILENT_REST_US;
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
            solve(nowUs);
        }
        for (final PendingRequest request : open.values().toArray(new PendingRequest[0])) {
            if (request.out.isEmpty()) {
                attempt(request, nowUs);
            }
            List.copyOf(request.out).forEach(attempt -> watch(request, attempt, nowUs));
        }
    }

    /**
     * Guards against slow and silent workers: a late job counts, also against its worker, before it
     * ends.
     */
    private void watch(PendingRequest request, Attempt attempt, long nowUs) {
        final WorkerInstance node = attempt.node;
        final double waitedUs = waitedUs(request, attempt, nowUs);
        final double waitUs = attempt.sentUs - request.arrivedUs + waitedUs;
        final double mayWaitUs = request.inTimeUs() - request.runUs();
        if (!attempt.late && waitUs > mayWaitUs) {
            attempt.late = true;
            if (!request.closed && node.stalledUntilUs <= nowUs) {
                judge(node, request.priorityWeight, 1);
            }
            node.learnPace(MAX_RATIO * node.pace());
        }
        // Where slots seem free but no job of the class starts, others need not find out one by
        // one.
        if (!attempt.silent
                && settings.reportsJobStart()
                && attempt.startReportedAtUs == 0
                && waitedUs > SILENT_RUNS * meanRunUs
                && slotsInUse(node, nowUs) < node.kind.slots()) {
            attempt.silent = true;
            if (settings.allowsPeerMessages()
                    && node.unresponsiveUntilUs[request.owner.index] <= nowUs) {
                actions.reportUnresponsive(node.listed.id(), request.owner.index);
            }
            workerReportedUnresponsive(nowUs, node.listed.id(), request.owner.index);
        }
        // Guards against a worker that hangs: one that tells of progress and has stopped to stands
        // still.
        // Guards against leaving out a worker that is well for one job's broken stream: others'
        // notes count.
        final long sinceUs = (long) (nowUs - STILL_NOTES * settings.progressUs());
        final boolean pendingEvents =
                settings.progressUs() > 0
                        && attempt.lastProgressUs < sinceUs
                        && (attempt.startReportedAtUs > 0 || node.lastProgressUs < attempt.sentUs);
        if (pendingEvents && !attempt.still) {
            attempt.still = true;
            node.stalledUntilUs =
                    node.lastProgressUs < sinceUs ? nowUs + SILENT_REST_US : node.stalledUntilUs;
        }
        // Guards against a wait behind others' jobs, which no dispatcher sees: the job may start
        // elsewhere.
        final boolean waits =
                settings.reportsJobStart()
                        && attempt.startReportedAtUs == 0
                        && waitUs > UNSTARTED_COPY * mayWaitUs;
        if ((pendingEvents || waits || node.stalledUntilUs > nowUs)
                && !request.closed
                && request.out.size() == 1) {
            copy(request, attempt, nowUs);
        }
    }

    /**
     * Whether no more may be sent for it; fewer attempts allowed hold for those under way, more
     * never.
     */
    private boolean isOver(PendingRequest request, long nowUs) {
        return !mayRepeat(request, nowUs)
                || request.sent >= Math.min(settings.limits().maxAttempts(), request.maxAttempts)
                || nowUs
                        >= Math.min(
                                request.arrivedUs + request.inTimeUs(),
                                request.deadlineUs - 2 * tickUs);
    }

    /**
     * Sends a hedged request to where there is room now, if the class allows it and it can still be
     * in time.
     */
    private void copy(PendingRequest request, Attempt attempt, long nowUs) {
        final RequestClass stated = request.owner.stated;
        final boolean binds = stated.idempotency() == Idempotency.KEYED && !request.mayHaveRun;
        if (!settings.limits().allowsHedging()
                || !request.mayHedge
                || stated.idempotency() == Idempotency.UNSAFE
                || binds && nowUs >= attempt.sentUs + stated.deduplicationWindowUs()
                || isOver(request, nowUs)) {
            return;
        }
        WorkerInstance to = request.answered;
        request.answered = null;
        if (to == null && request.asked.isEmpty() && nowUs >= request.nextHedgeQueryUs) {
            // Guards against a doubled effect: the first copy may run yet, so a keyed one stays in
            // its group.
            request.bound = binds ? fleet.groupOf(stated, attempt.node.listed) : request.bound;
            final List<WorkerInstance> drawn = draw(request, nowUs, 2);
            request.bound = binds ? null : request.bound;
            // Guards against copies that crowd full workers: a report of before tells nothing of
            // room now.
            if (settings.canQueryLoad()) {
                request.nextHedgeQueryUs = drawn.isEmpty() ? 0 : nowUs + (long) meanRunUs;
                ask(request, drawn);
            } else if (!drawn.isEmpty()) {
                to = drawn.get(0);
            }
        }
        if (to != null
                && to.pooled
                && hasRoom(to, nowUs, request)
                && coldAllows(to, nowUs, request)) {
            if (binds) {
                bind(request, attempt);
            }
            send(request, to, nowUs);
        }
    }
}
