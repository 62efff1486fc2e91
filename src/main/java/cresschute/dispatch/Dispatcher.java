package cresschute.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * One dispatcher. It receives events from its host, consults the policies, and calls actions on the
 * host. It keeps the pending requests; every decision is made by a policy class.
 *
 * <p>A request arrives, is admitted ({@link AdmissionController}) and attempted: a worker is
 * selected ({@link WorkerSelector}), perhaps after load queries ({@link LoadQueryPolicy}). When an
 * attempt ends, its outcome updates the estimates and the worker's health, and the request is
 * closed or retried ({@link RetryPolicy}) until {@link DeadlinePolicy} gives it up. A timer checks
 * the pending requests for late and stalled attempts ({@link OutlierDetector}) and hedges them
 * ({@link HedgingPolicy}).
 *
 * <p>Life cycle: it starts with the first {@link #endpointListChanged} and is never stopped. The
 * host makes all calls on one thread, and actions are called on that thread from within an event.
 * The same seed and events produce the same actions.
 */
public final class Dispatcher implements DispatcherEvents {

    /** The token of the only timer. */
    private static final long CHECK_TIMER = 0;

    private final DispatcherActions actions;
    private final CurrentSettings settings;
    private final WorkerIndex workers;
    private final ServiceTimeEstimator serviceTimes;
    private final WorkerLoadEstimator loads;
    private final EndpointListUpdater endpointList;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final WorkerSelector selector;
    private final LoadQueryPolicy loadQueries;
    private final AdmissionController admission;
    private final DeadlinePolicy deadlines;
    private final RetryPolicy retries;
    private final HedgingPolicy hedging;
    private final SendPolicy sends;
    private final EndpointListPoller poller;
    private final AttemptFeedback feedback;
    private final Map<Integer, PendingRequest> pending = new LinkedHashMap<>();

    /**
     * Creates a dispatcher that has not started.
     *
     * @param seed seed of all random numbers of this dispatcher
     */
    public Dispatcher(DispatchSettings settings, long seed, DispatcherActions actions) {
        final SplittableRandom random = new SplittableRandom(seed);
        this.actions = actions;
        this.settings = new CurrentSettings(settings);
        workers = new WorkerIndex(placements(settings));
        serviceTimes = new ServiceTimeEstimator(this.settings);
        loads = new WorkerLoadEstimator(this.settings, serviceTimes);
        slowStart = new SlowStart(this.settings, serviceTimes, random);
        endpointList = new EndpointListUpdater(this.settings, workers, loads, slowStart, actions);
        outliers = new OutlierDetector(this.settings, serviceTimes, loads);
        selector =
                new WorkerSelector(this.settings, serviceTimes, loads, slowStart, outliers, random);
        loadQueries = new LoadQueryPolicy(this.settings, serviceTimes);
        admission = new AdmissionController(this.settings, workers, serviceTimes, random);
        deadlines = new DeadlinePolicy(this.settings);
        retries = new RetryPolicy(this.settings, workers, deadlines);
        hedging = new HedgingPolicy(this.settings, retries);
        sends = new SendPolicy(retries);
        poller = new EndpointListPoller(this.settings, random);
        feedback = new AttemptFeedback(serviceTimes, loads, slowStart, outliers, deadlines);
    }

    private static List<Placement> placements(DispatchSettings settings) {
        return settings.classes().stream().map(RequestClass::placement).toList();
    }

    @Override
    public void settingsChanged(long nowUs, DispatchSettings next, ClassChanges classChanges) {
        final DispatchSettings before = settings.get();
        settings.replace(next, classChanges);
        workers.setPlacements(placements(next));
        outliers.forgetClasses(workers.workers(), classChanges.replaced());
        admission.settingsChanged(before, classChanges);
        deadlines.settingsChanged(classChanges.retired());
    }

    @Override
    public void endpointListChanged(long nowUs, EndpointListForm form, List<Worker> entries) {
        if (form == EndpointListForm.FAILED) {
            poller.pollFailed(nowUs);
            return;
        }
        endpointList.apply(form, entries, nowUs);
        if (!admission.isStarted()) {
            start(nowUs);
        }
    }

    private void start(long nowUs) {
        slowStart.started(nowUs);
        admission.start(nowUs);
        poller.started(nowUs);
        actions.startTimer(CHECK_TIMER, deadlines.checkIntervalUs());
    }

    @Override
    public void requestArrived(long nowUs, int requestId, Job job, long deadlineUs) {
        final DemandBucket bucket = admission.bucketOf(job, nowUs);
        if (job.runningTimeHintUs() > Job.NO_HINT) {
            serviceTimes.hintReceived(bucket.classState(), job.runningTimeHintUs());
        }
        final long firstSentUs = deadlines.firstSentUs(bucket.classState(), job, deadlineUs, nowUs);
        final PendingRequest request =
                new PendingRequest(
                        requestId, bucket, job, firstSentUs, deadlineUs, settings.get().limits());
        if (deadlines.isTooOld(request, nowUs)) {
            giveUp(request, nowUs);
            return;
        }
        serviceTimes.jobArrived(request.slots());
        if (bucket.admitNext()) {
            pending.put(requestId, request);
            attempt(request, nowUs);
        } else {
            giveUp(request, nowUs);
        }
    }

    /**
     * Sends the next attempt, queries worker loads before it, or gives the request up if no further
     * attempt is allowed. If no worker is available now, the request stays pending and the next
     * check tries again, until it is too late for an attempt.
     */
    private void attempt(PendingRequest request, long nowUs) {
        if (!retries.allowsAttempt(request, nowUs)) {
            giveUp(request, nowUs);
            return;
        }
        final WorkerInstance bestQueried = request.bestQueried();
        final boolean mayUseQueried =
                bestQueried != null
                        && bestQueried.isDispatchable()
                        && slowStart.allows(bestQueried, request, nowUs);
        if (mayUseQueried
                && (!loadQueries.allowsAnotherRound(request)
                        || selector.hasCapacity(bestQueried, request, nowUs))) {
            send(request, bestQueried, nowUs);
            return;
        }
        final List<WorkerInstance> selected = selector.select(request, nowUs);
        if (loadQueries.shouldQuery(request, selected, nowUs)) {
            queryLoad(request, selector.select(request, loadQueries.workersPerRound(), nowUs));
        } else if (mayUseQueried
                && (selected.isEmpty()
                        || selector.cost(bestQueried, request, nowUs)
                                < selector.cost(selected.get(0), request, nowUs))) {
            send(request, bestQueried, nowUs);
        } else if (!selected.isEmpty()) {
            send(request, selected.get(0), nowUs);
        }
    }

    private void queryLoad(PendingRequest request, List<WorkerInstance> selected) {
        final List<WorkerInstance> queried = loadQueries.toQuery(selected);
        request.startQueries(queried);
        for (final WorkerInstance worker : queried) {
            actions.queryLoad(worker.id());
        }
    }

    private void send(PendingRequest request, WorkerInstance worker, long nowUs) {
        request.startAttempt(worker, nowUs);
        worker.reserveSlots(request.slots());
        slowStart.attemptSent(worker, request, nowUs);
        actions.send(request.id(), worker.id(), request.deadlineUs());
    }

    @Override
    public void loadReported(long nowUs, int workerId, Outcome outcome, LoadReport report) {
        final WorkerInstance worker = workers.find(workerId);
        if (worker == null) {
            return;
        }
        loads.loadReported(worker, report, nowUs);
        if (outcome != Outcome.SERVED) {
            outliers.recordOutcome(worker, outcome, nowUs);
        }
        final PendingRequest request = worker.pollQueryingRequest();
        if (request == null || !request.endQuery(worker)) {
            return;
        }
        if (outcome == Outcome.SERVED && isBestQueried(worker, request, nowUs)) {
            request.setBestQueried(worker);
        }
        if (!request.hasPendingQueries() && !request.hasAttemptInFlight()) {
            attempt(request, nowUs);
        }
    }

    private boolean isBestQueried(WorkerInstance worker, PendingRequest request, long nowUs) {
        return request.bestQueried() == null
                || selector.cost(worker, request, nowUs)
                        < selector.cost(request.bestQueried(), request, nowUs);
    }

    @Override
    public void jobProgressed(
            long nowUs, int requestId, int attemptNumber, int workerId, double fractionDone) {
        final AttemptRecord attempt = findAttempt(pending.get(requestId), attemptNumber);
        if (attempt != null) {
            attempt.progressReported(nowUs, fractionDone);
            attempt.worker().progressReported(nowUs);
        }
    }

    private static AttemptRecord findAttempt(PendingRequest request, int attemptNumber) {
        return request == null ? null : request.findAttempt(attemptNumber);
    }

    @Override
    public void attemptEnded(
            long nowUs,
            int requestId,
            int attemptNumber,
            int workerId,
            Outcome outcome,
            long elapsedUs,
            boolean requestClosed,
            LoadReport report) {
        final PendingRequest request = pending.get(requestId);
        final AttemptRecord attempt = findAttempt(request, attemptNumber);
        if (attempt == null) {
            return;
        }
        final WorkerInstance worker = attempt.worker();
        request.endAttempt(attempt);
        worker.releaseSlots(request.slots());
        feedback.recordLoadAndOutcome(worker, request, outcome, report, nowUs);
        endpointList.attemptEnded(workerId);
        feedback.updateEstimates(request, attempt, outcome, elapsedUs, nowUs);
        feedback.addEvidence(request, attempt, outcome, requestClosed);
        if (outcome != Outcome.SERVED && !request.mayHaveRun() && retries.mayHaveRun(outcome)) {
            retries.markMayHaveRun(request, attempt);
        }
        if (requestClosed || request.isClosed()) {
            close(request);
        } else if (outcome == Outcome.UNUSABLE) {
            close(request);
            actions.fail(request.id());
        } else if (!request.hasAttemptInFlight()) {
            attempt(request, nowUs);
        }
    }

    /** Closes the request and sends its only final answer. */
    private void giveUp(PendingRequest request, long nowUs) {
        close(request);
        switch (deadlines.replyTo(request, nowUs)) {
            case REJECTED -> actions.reject(request.id(), deadlines.retryAfterUs());
            case FAILED -> actions.fail(request.id());
        }
    }

    private void close(PendingRequest request) {
        request.close();
        if (!request.hasAttemptInFlight()) {
            pending.remove(request.id());
        }
    }

    @Override
    public SendDecision decideSend(long nowUs, int requestId, int attemptNumber) {
        final PendingRequest request = pending.get(requestId);
        final AttemptRecord attempt = findAttempt(request, attemptNumber);
        return attempt == null
                ? SendDecision.REQUEST_CLOSED
                : sends.decide(request, attempt, nowUs);
    }

    @Override
    public void clientLeft(long nowUs, int requestId) {
        final PendingRequest request = pending.get(requestId);
        if (request != null) {
            close(request);
        }
    }

    @Override
    public void workerReportedUnresponsive(long nowUs, int workerId, int requestClass) {
        final WorkerInstance worker = workers.find(workerId);
        if (worker != null) {
            outliers.ejectUnresponsive(worker, requestClass, nowUs);
        }
    }

    @Override
    public void timerFired(long nowUs, long token) {
        actions.startTimer(CHECK_TIMER, deadlines.checkIntervalUs());
        if (poller.takeDuePoll(nowUs)) {
            actions.pollEndpointList();
        }
        if (admission.isAllocationDue(nowUs)) {
            slowStart.refill(workers.workers(), nowUs);
            admission.reallocate(nowUs);
        }
        for (final PendingRequest request : pending.values().toArray(new PendingRequest[0])) {
            if (!request.hasAttemptInFlight()) {
                attempt(request, nowUs);
            }
            for (final AttemptRecord attempt : request.attemptsInFlight()) {
                check(request, attempt, nowUs);
            }
        }
    }

    /**
     * Checks whether an attempt in flight is late, unresponsive or stalled, and hedges it if that
     * is due and allowed.
     */
    private void check(PendingRequest request, AttemptRecord attempt, long nowUs) {
        final double waitAtWorkerUs = serviceTimes.waitAtWorkerUs(request, attempt, nowUs);
        final double totalWaitUs = attempt.sentUs() - request.firstSentUs() + waitAtWorkerUs;
        if (!attempt.isLate() && totalWaitUs > request.slackUs()) {
            feedback.recordLateAttempt(request, attempt, nowUs);
        }
        if (outliers.detectUnresponsive(attempt, waitAtWorkerUs, nowUs)) {
            reportUnresponsive(attempt.worker(), request.classIndex(), nowUs);
        }
        final boolean stalled = outliers.detectStalled(attempt, nowUs);
        if (hedging.isDue(request, attempt, totalWaitUs, stalled, nowUs)
                && hedging.isAllowed(request, attempt, nowUs)) {
            hedge(request, attempt, nowUs);
        }
    }

    private void reportUnresponsive(WorkerInstance worker, int requestClass, long nowUs) {
        if (settings.get().allowsPeerMessages() && !worker.isUnresponsive(requestClass, nowUs)) {
            actions.reportUnresponsive(worker.id(), requestClass);
        }
        workerReportedUnresponsive(nowUs, worker.id(), requestClass);
    }

    /** Sends a hedged request to a worker with capacity, or queries worker loads to find one. */
    private void hedge(PendingRequest request, AttemptRecord attempt, long nowUs) {
        WorkerInstance worker = request.bestQueried();
        request.setBestQueried(null);
        if (worker == null && !request.hasPendingQueries() && nowUs >= request.nextHedgeQueryUs()) {
            final List<WorkerInstance> selected = selectForHedge(request, attempt, nowUs);
            if (loadQueries.isAllowed()) {
                request.setNextHedgeQueryUs(loadQueries.nextHedgeQueryUs(selected, nowUs));
                queryLoad(request, selected);
            } else if (!selected.isEmpty()) {
                worker = selected.get(0);
            }
        }
        if (worker != null
                && worker.isDispatchable()
                && selector.hasCapacity(worker, request, nowUs)
                && slowStart.allows(worker, request, nowUs)) {
            if (hedging.needsDeduplication(request)) {
                retries.markMayHaveRun(request, attempt);
            }
            send(request, worker, nowUs);
        }
    }

    /**
     * Selects workers for a hedged request; if it needs deduplication, only workers that drop a
     * duplicate of the attempt.
     */
    private List<WorkerInstance> selectForHedge(
            PendingRequest request, AttemptRecord attempt, long nowUs) {
        if (!hedging.needsDeduplication(request)) {
            return selector.select(request, nowUs);
        }
        request.bindToGroup(retries.deduplicationGroup(request, attempt));
        final List<WorkerInstance> selected = selector.select(request, nowUs);
        request.bindToGroup(Optional.empty());
        return selected;
    }
}
