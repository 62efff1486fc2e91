package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;

/**
 * The attempts in flight: starts those that the dispatcher chose, passes on what their workers
 * report, and ends each exactly once. The first that serves answers its request; the others are
 * cancelled then. What has no byte on the wire is recalled where its request is closed or its
 * worker takes no new work any more. Owns no state but the way to the workers; each request owns
 * its attempts. Lives as long as the node; call from the event loop.
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
     * Starts nothing before {@link #start}.
     *
     * @param context the event loop and whom to notify
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

    /** Sends attempts by this client from now on. */
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
            reportUnstarted(request, worker);
            return;
        }
        final long nowUs = context.nowUs();
        final Attempt attempt =
                new Attempt(
                        this,
                        request,
                        registry.listed().get(worker),
                        address,
                        nowUs,
                        Math.min(deadlineUs, request.deadlineUs()));
        request.attemptStarted(attempt);
        attempt.setObserver(
                context.listener().attemptStarted(nowUs, worker, request.requestClass()));
        context.loads().started(registry.name(worker));
        attempt.setTimeout(context.schedule(attempt.remainingUs(), attempt::timeOut));
        try {
            attempt.start(workers);
        } catch (RuntimeException e) {
            // Every attempt has an end: what threw before it went out never ran.
            LogEvent.of("attempt_not_started", "an attempt could not be started")
                    .with("request", request.requestId())
                    .with("worker", registry.name(worker))
                    .withCause(e)
                    .log(LOG, Level.ERROR);
            end(attempt, Outcome.CONNECT_FAILED, LoadReport.NONE, null);
        }
    }

    /**
     * The request was closed in the turn in which the dispatcher chose the worker, its body is
     * partly gone, or its client is not read: nothing is sent, which is no failure of the worker's.
     */
    private void reportUnstarted(ClientRequest request, int worker) {
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
                                                closed ? Outcome.NOT_SENT : Outcome.CANCELLED,
                                                0,
                                                closed,
                                                LoadReport.NONE));
    }

    /**
     * Whether an attempt of a request may begin now, asked right before it does: not where its
     * client has left, or may have left unseen. If no attempt has begun the request is answered by
     * that. Not to be called from within the reading of a client's connection.
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

    /** Whether the first byte of an attempt may go out; it has ended where not. */
    boolean mayBegin(Attempt attempt) {
        final boolean wanted = mayBegin(attempt.request());
        if (!attempt.isEnded() && !wanted) {
            attempt.cancel(Outcome.CANCELLED);
        } else if (!attempt.isEnded() && attempt.remainingUs() == 0) {
            // The loop was busy when the timeout was due, and runs timers only after its reading.
            attempt.timeOut();
        }
        return !attempt.isEnded();
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
        // The dispatcher owes nothing any more once a long result is on its way.
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
     * Cancels every attempt of a request but the one that answers it, which is no failure of their
     * workers. A worker may drop a queued job once its connection is closed.
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
     * A job produces a long result, which is the answer from here on. For the dispatcher the
     * attempt ends here, as served: its pace from now on is the client's, and says nothing of the
     * worker or the class.
     *
     * @return the stream to the client, {@link ResultStream#DISCARDING} if the client has left,
     *     null if none is allowed
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

    /** A long result has ended; its request is answered by that, if it is still open. */
    void resultEnded(Attempt attempt, boolean complete) {
        if (!attempt.request().isClosed()) {
            requests.finishResult(attempt.request(), complete);
        }
    }

    // ---- Recall ----

    /**
     * Recalls what is not yet on the wire to a worker that takes no new work any more, listens
     * elsewhere or was restarted: a connection may take longer to come up than the grace of a
     * drain. The dispatcher chooses again.
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
