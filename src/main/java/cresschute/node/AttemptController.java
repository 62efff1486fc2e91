package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.SendDecision;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;

/**
 * Manages the attempts in flight: starts the attempts that the dispatcher chose, passes on their
 * workers' reports, and ends each attempt exactly once. The first attempt that is served answers
 * its request; the others are then cancelled. An attempt without a byte on the wire is cancelled if
 * its request is closed or its worker takes no new work. Holds no state except the worker client;
 * each request owns its attempts. Lives as long as the node; call from the event loop.
 */
final class AttemptController {

    private static final long US_PER_MS = 1_000;
    private static final Logger LOG = System.getLogger("cresschute.requests");

    private final LoopContext context;
    private final ActiveSettings settings;
    private final OpenRequests requests;
    private final WorkerRegistry registry;
    private final RateLimitedLog faults;
    private WorkerClient workers;

    /**
     * Creates a controller; call {@link #start} before the first attempt.
     *
     * @param context the event loop and the listeners
     * @param settings the settings in force
     * @param requests the open requests
     * @param registry the workers
     * @param faults logs attempts that cannot begin
     */
    AttemptController(
            LoopContext context,
            ActiveSettings settings,
            OpenRequests requests,
            WorkerRegistry registry,
            RateLimitedLog faults) {
        this.context = context;
        this.settings = settings;
        this.requests = requests;
        this.registry = registry;
        this.faults = faults;
    }

    /** Sets the client that sends all attempts from now on. */
    void start(WorkerClient client) {
        workers = client;
    }

    /** The time now, microseconds. */
    long nowUs() {
        return context.nowUs();
    }

    // ---- Start ----

    /**
     * Starts the next attempt of a request.
     *
     * @param requestId the number of the request
     * @param worker the number of the worker
     * @param deadlineUs when the attempt ends at the latest, microseconds
     */
    void send(int requestId, int worker, long deadlineUs) {
        final ClientRequest request = requests.find(requestId);
        final InetSocketAddress address = registry.address(worker);
        if (!context.invariant()
                .check(request != null && address != null, "send of or to nobody")) {
            return;
        }
        if (!mayBegin(request) || !request.content().isReplayable()) {
            reportUnstarted(request, worker, Outcome.CANCELLED);
            return;
        }
        final long nowUs = context.nowUs();
        final SendDecision decision =
                context.dispatcher().decideSend(nowUs, requestId, request.attemptsStarted());
        if (decision != SendDecision.ALLOWED) {
            logNotSent(request, worker, decision);
            reportUnstarted(request, worker, Outcome.NOT_SENT);
            return;
        }
        final Attempt attempt =
                new Attempt(
                        this,
                        request,
                        registry.listed().get(worker),
                        address,
                        nowUs,
                        Math.min(deadlineUs, request.deadlineUs()));
        request.attemptStarted(attempt);
        requests.sending(request);
        attempt.setObserver(
                context.listener().attemptStarted(nowUs, worker, request.requestClass()));
        context.loads().started(registry.name(worker));
        attempt.setTimeout(context.schedule(attempt.remainingUs(), attempt::timeOut));
        try {
            attempt.start(workers);
        } catch (RuntimeException e) {
            // Every attempt must end. This one failed before anything was sent, so it has not run.
            LogEvent.of(
                            "attempt_not_started",
                            "an attempt could not be started; it ends as a failed connection")
                    .with("request", request.requestId())
                    .with("worker", registry.name(worker))
                    .withCause(e)
                    .log(LOG, Level.ERROR);
            end(attempt, Outcome.CONNECT_FAILED, LoadReport.NONE, null);
        }
    }

    /**
     * Reports the end of an attempt that was not started: its request was closed in the turn in
     * which the dispatcher chose the worker, part of its body is no longer available, or reading
     * its client is paused. This is not a failure of the worker.
     *
     * @param outcome how it ended if the request is still open
     */
    private void reportUnstarted(ClientRequest request, int worker, Outcome outcome) {
        final int number = request.nextAttemptNumber();
        final boolean closed = request.isClosed();
        context.turn()
                .enqueue(
                        request,
                        now ->
                                context.dispatcher()
                                        .attemptEnded(
                                                now,
                                                request.id(),
                                                number,
                                                worker,
                                                closed ? Outcome.NOT_SENT : outcome,
                                                0,
                                                closed,
                                                LoadReport.NONE));
    }

    /**
     * Returns true if an attempt of a request may begin now; called right before it begins. It may
     * not if the client has left, or may have left undetected because reading it is paused. If it
     * is paused and no attempt has begun, this method answers the request. Do not call it while a
     * client's connection is being read.
     */
    private boolean mayBegin(ClientRequest request) {
        if (!request.isClosed() && request.client().hasLeft()) {
            requests.clientLeft(request);
        }
        if (request.isClosed() || request.hasLongResult()) {
            return false;
        }
        final boolean paused = request.client().readPausedUs() > RequestLifecycle.MAX_READ_PAUSE_US;
        if (paused && !request.isOnWire()) {
            faults.fault(
                    PeerFault.BODY_CAPACITY_EXCEEDED,
                    null,
                    "not sent: reading its client is paused");
            requests.answerUnreplayable(request);
        }
        return !paused;
    }

    /**
     * Returns true if the first byte of an attempt may be written; if not, the attempt has ended.
     */
    boolean mayBegin(Attempt attempt) {
        final boolean wanted = mayBegin(attempt.request());
        if (!attempt.isEnded() && !wanted) {
            attempt.cancel(Outcome.CANCELLED);
        } else if (!attempt.isEnded() && attempt.remainingUs() == 0) {
            // The loop was busy when the timeout was due, and it runs timers only after its reads.
            attempt.timeOut();
        } else if (!attempt.isEnded()) {
            cancelUnlessAllowed(attempt);
        }
        return !attempt.isEnded();
    }

    private void cancelUnlessAllowed(Attempt attempt) {
        final ClientRequest request = attempt.request();
        final SendDecision decision =
                isAsListed(attempt)
                        ? context.dispatcher()
                                .decideSend(context.nowUs(), request.id(), attempt.number())
                        : SendDecision.WORKER_CHANGED;
        if (decision != SendDecision.ALLOWED) {
            logNotSent(request, attempt.worker(), decision);
            attempt.cancel(Outcome.NOT_SENT);
        }
    }

    private void logNotSent(ClientRequest request, int worker, SendDecision decision) {
        faults.fault(
                PeerFault.ATTEMPT_NOT_SENT,
                registry.name(worker),
                "request " + request.requestId() + ": " + decision.wireName());
    }

    /** Notifies the dispatcher of a job's start or progress. */
    void progressed(Attempt attempt, double fractionDone) {
        attempt.observer().progressed(context.nowUs());
        final ClientRequest request = attempt.request();
        context.turn()
                .enqueue(
                        request,
                        now ->
                                context.dispatcher()
                                        .jobProgressed(
                                                now,
                                                request.id(),
                                                attempt.number(),
                                                attempt.worker(),
                                                fractionDone));
    }

    // ---- End ----

    /**
     * Ends an attempt.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     * @param report the worker's load report, or {@link LoadReport#NONE}
     * @param result what the worker returned if it served, else null
     */
    void end(Attempt attempt, Outcome outcome, LoadReport report, String result) {
        if (!context.invariant().check(!attempt.isEnded(), "attempt ended twice")) {
            return;
        }
        attempt.markEnded();
        if (LOG.isLoggable(Level.DEBUG)) {
            logEnd(attempt, outcome);
        }
        final ClientRequest request = attempt.request();
        final String worker = registry.name(attempt.worker());
        final long endedUs = context.nowUs();
        attempt.observer().ended(endedUs, outcome, report);
        context.loads().ended(worker);
        context.loads().reported(worker, report);
        if (outcome == Outcome.SERVED && !request.isClosed() && !request.hasLongResult()) {
            requests.serve(request, result, attempt.observer().ranUs(endedUs));
        }
        request.attemptEnded(attempt, settings.mayHaveRun(outcome));
        if (!request.isClosed()
                && !request.hasLongResult()
                && !request.hasAttempts()
                && !request.content().isReplayable()) {
            requests.answerUnreplayable(request);
        }
        requests.forgetIfDone(request);
        reportEnd(attempt, outcome, report);
        if (outcome == Outcome.SERVED && !request.hasLongResult()) {
            cancelOthers(request, attempt);
        }
    }

    private void reportEnd(Attempt attempt, Outcome outcome, LoadReport report) {
        final ClientRequest request = attempt.request();
        final long elapsedUs = context.nowUs() - attempt.startedUs();
        // Once a long result is being passed on, the dispatcher must not answer the request.
        context.turn()
                .enqueue(
                        request,
                        now ->
                                context.dispatcher()
                                        .attemptEnded(
                                                now,
                                                request.id(),
                                                attempt.number(),
                                                attempt.worker(),
                                                outcome,
                                                elapsedUs,
                                                request.isClosed() || request.hasLongResult(),
                                                report));
    }

    private void logEnd(Attempt attempt, Outcome outcome) {
        final ClientRequest request = attempt.request();
        LogEvent.of(
                        "attempt_ended",
                        "attempt "
                                + attempt.number()
                                + " of "
                                + request.requestId()
                                + " ended: "
                                + outcome)
                .with("request", request.requestId())
                .with("class", request.className())
                .with("worker", registry.name(attempt.worker()))
                .with("attempt", attempt.number())
                .with("outcome", outcome.wireName())
                .with("ms", (context.nowUs() - attempt.startedUs()) / US_PER_MS)
                .log(LOG, Level.DEBUG);
    }

    /**
     * Cancels every attempt of a request except the one that answers it. This is not a failure of
     * their workers. A worker may drop a queued job once its connection is closed.
     */
    private static void cancelOthers(ClientRequest request, Attempt answering) {
        for (final Attempt other : request.attempts()) {
            if (other != answering) {
                other.cancel(Outcome.CANCELLED);
            }
        }
    }

    // ---- Long results ----

    /**
     * Starts to pass on a long result of a job as the answer. For the dispatcher the attempt ends
     * now, as served: from now on the client sets its pace, which says nothing about the worker or
     * the class.
     *
     * @return the stream to the client, {@link ResultStream#DISCARDING} if the client has left,
     *     null if no long result is allowed
     */
    ResultStream resultBegins(Attempt attempt, String type, long length, LoadReport report) {
        final ClientRequest request = attempt.request();
        if (request.isClosed()) {
            end(attempt, Outcome.SERVED, report, null);
            return ResultStream.DISCARDING;
        }
        final ResultStream stream = request.client().resultBegins(type, length);
        if (stream == null) {
            return null;
        }
        request.startLongResult(attempt, stream);
        cancelOthers(request, attempt);
        if (settings.deadlineIsToFirstByte(request.requestClass())) {
            request.removeAnswerDeadline();
        } else {
            final long leftUs = Math.max(0, request.deadlineUs() - context.nowUs());
            request.setAnswerTimer(context.schedule(leftUs, () -> abortResult(attempt)));
        }
        end(attempt, Outcome.SERVED, report, null);
        return stream;
    }

    private void abortResult(Attempt attempt) {
        attempt.request().cancelResult();
        resultEnded(attempt, false);
    }

    /** Ends a long result, which completes the answer if the request is still open. */
    void resultEnded(Attempt attempt, boolean complete) {
        if (!attempt.request().isClosed()) {
            requests.finishResult(attempt.request(), complete);
        }
    }

    // ---- Cancellation of unsent attempts ----

    /**
     * Cancels attempts without a byte on the wire whose worker takes no new work, has a new address
     * or was restarted. This is needed because a connection may take longer to establish than the
     * grace period of a drain. The dispatcher chooses again.
     */
    void cancelUnsentToChangedWorkers() {
        for (final ClientRequest request : requests.all()) {
            request.cancelUnsent(attempt -> !isAsListed(attempt), Outcome.NOT_SENT);
        }
    }

    private boolean isAsListed(Attempt attempt) {
        final Worker listed = registry.listed().get(attempt.worker());
        return context.listener().effectiveState(registry.name(listed.id()), listed.state())
                        == WorkerState.READY
                && attempt.targets(listed, registry.address(listed.id()));
    }
}
