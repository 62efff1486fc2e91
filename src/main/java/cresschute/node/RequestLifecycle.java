package cresschute.node;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.logs.LogEvent;
import cresschute.settings.ApplianceSettings.ClassBodies;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * Owner of all open requests and attempts, between the fronts, the workers, discovery and the
 * module. All of it happens on one loop: what is ready there is gathered, handed to the module in
 * one turn, and then the module's actions are carried out in order. It decides nothing by itself.
 */
public final class RequestLifecycle {

    /**
     * Taken off a request's time, us: the way of the answer, and of the request before its last
     * byte was read.
     */
    static final long ANSWER_MARGIN_US = 15_000;

    /**
     * Past its due time by this, us, a request that the module left unanswered is failed by the
     * node.
     */
    static final long OVERDUE_US = 10_000;

    /**
     * No attempt begins once reading its client has been paused for longer than this, us: the
     * client may have closed its connection as soon as the pause began, and its close is seen only
     * where reading goes on. With the time from this check to the first byte, which is one call of
     * the loop, an attempt begins less than 100 ms after an unseen close.
     */
    static final long MAX_READ_PAUSE_US = 80_000;

    /** When to come back with what the node itself rejects, us, where advice is allowed. */
    private static final long OWN_RETRY_US = 1_000_000;

    private static final long US_A_MS = 1_000;
    private static final Logger LOG = System.getLogger("cresschute.core");

    private final ScheduledExecutorService loop;
    private final Clock clock;
    private final RateLimitedLog faults;
    private final Invariant invariant = new Invariant();
    private final WorkerRegistry registry;
    private List<String> classes;
    private List<RequestClass> classSettings;
    private boolean fullMayHaveRun;

    /** For each class, whether the first byte of a long result is what must be in time. */
    private List<Boolean> deadlineToFirst;

    /** Advice of the node's own refusals, us. */
    private long retryAfterUs;

    private final RequestListener listener;
    private final LoadKnowledge loads;
    private final DispatcherEvents module;
    private final Map<Integer, ClientRequest> open = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final List<Runnable> actions = new ArrayList<>();
    private List<Event> gathered = new ArrayList<>();
    private boolean turnDue;
    private boolean ready;

    /** Whether nothing is waited for any more, as the process ends. */
    private boolean atItsEnd;

    private int lastRequestId;
    private int unanswered;
    private long listUpdatedAtUs;
    private WorkerClient workerClient;
    private Discovery discovery;

    /** A core that nobody watches. */
    public RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            Function<DispatcherActions, DispatcherEvents> module) {
        this(config, loop, clock, faults, RequestListener.NONE, module);
    }

    /**
     * A core without its ways out; {@code module} builds the decision module around its actions,
     * and {@code listener} hears what passes and may lay drains over the list.
     */
    RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            RequestListener listener,
            Function<DispatcherActions, DispatcherEvents> module) {
        this(config, loop, clock, faults, listener, LoadKnowledge.NONE, module);
    }

    /** The same, with workers' loads known to {@code loads} where it answers. */
    RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            RequestListener listener,
            LoadKnowledge loads,
            Function<DispatcherActions, DispatcherEvents> module) {
        this.loop = loop;
        this.clock = clock;
        this.faults = faults;
        this.registry = new WorkerRegistry(config.zones(), config.kinds());
        this.classes = config.classes();
        this.classSettings = config.settings().classes();
        this.deadlineToFirst =
                config.bodies() == null
                        ? Collections.nCopies(classes.size(), false)
                        : config.bodies().classes().stream()
                                .map(ClassBodies::deadlineToFirst)
                                .toList();
        this.fullMayHaveRun = config.settings().fullMayHaveRun();
        this.retryAfterUs = Math.min(OWN_RETRY_US, config.settings().limits().maxRetryAfterUs());
        this.listener = listener;
        this.loads = loads;
        this.module = module.apply(new GatheredActions());
    }

    /**
     * Takes settings that changed while it runs, on the loop: {@code classes} by the numbers that
     * the module knows them by, retired ones too, and what the module is to hear. Requests under
     * way keep their class; the module hears of the change before any request that comes after it.
     */
    void applySettings(List<String> names, DispatchSettings told) {
        classes = names;
        classSettings = told.classes();
        if (deadlineToFirst.size() < names.size()) {
            // Where classes can change, long results are off: their deadline counts to the last
            // byte.
            final List<Boolean> grown = new ArrayList<>(deadlineToFirst);
            grown.addAll(Collections.nCopies(names.size() - deadlineToFirst.size(), false));
            deadlineToFirst = List.copyOf(grown);
        }
        fullMayHaveRun = told.fullMayHaveRun();
        retryAfterUs = Math.min(OWN_RETRY_US, told.limits().maxRetryAfterUs());
        gather(null, now -> module.settingsChanged(now, told));
    }

    /** Begins to work: the module hears of the list as it is known, then discovery is asked. */
    public void start(WorkerClient newWorkerClient, Discovery newDiscovery, EndpointList known) {
        workerClient = newWorkerClient;
        discovery = newDiscovery;
        publishList(EndpointListForm.CACHED, known);
    }

    // ---- Requests ----

    /** Whether a request under this id of its client's is owed an answer or has attempts out. */
    public boolean isOpen(String requestId) {
        return openIds.contains(requestId);
    }

    /**
     * Takes a request that is to be answered within this time; its client hears of it exactly once.
     */
    public ClientRequest take(
            RequestContent content, Job job, long waitUs, ResponseListener client) {
        final long nowUs = clock.nowUs();
        final long deadlineUs = nowUs + Math.max(0, waitUs - ANSWER_MARGIN_US);
        final ClientRequest request =
                new ClientRequest(
                        ++lastRequestId,
                        content,
                        classes.get(job.requestClass()),
                        job.requestClass(),
                        nowUs,
                        nowUs + waitUs,
                        deadlineUs,
                        client);
        open.put(request.id, request);
        openIds.add(content.requestId());
        unanswered++;
        listener.requestTaken(nowUs, request.requestClass);
        // Guards against a request that the module forgets or fails on: it is never left without an
        // answer.
        request.overdue =
                after(
                        waitUs + OVERDUE_US,
                        () -> {
                            failUnasked(request);
                            invariant.holds(false, "req overdue");
                        });
        if (atItsEnd) {
            answer(
                    request,
                    RequestListener.Answer.REJECTED,
                    0,
                    () -> client.localReply(retryAfterUs));
            return request;
        }
        gather(request, now -> module.requestArrived(now, request.id, job, deadlineUs));
        return request;
    }

    /**
     * The client of a request has gone: nothing is owed any more. What has a byte on the wire runs
     * on; an attempt whose connection is still coming up is given up, so that nothing is sent for
     * nobody.
     */
    public void clientLeft(ClientRequest request) {
        if (!request.closed) {
            hangUp(request);
            gather(request, now -> module.clientLeft(now, request.id));
            close(request);
            watched(request, RequestListener.Answer.LEFT, 0);
        }
    }

    /** Nobody reads a long result any more. */
    private static void hangUp(ClientRequest request) {
        if (request.streaming != null) {
            request.streaming.call.giveUp();
        }
    }

    private void watched(ClientRequest request, RequestListener.Answer answer, long ranUs) {
        final long nowUs = clock.nowUs();
        listener.requestEnded(
                nowUs,
                request.requestClass,
                answer,
                request.attemptsStarted,
                nowUs - request.takenUs,
                ranUs);
    }

    /** The one place where a client gets its answer. */
    private void answer(
            ClientRequest request, RequestListener.Answer outcome, long ranUs, Runnable answer) {
        if (request.closed) {
            // The client may have left in the same turn; a second answer may not happen.
            invariant.holds(!request.answered, "second answer");
            return;
        }
        request.answered = true;
        try {
            answer.run();
        } finally {
            close(request);
        }
        watched(request, outcome, ranUs);
        if (LOG.isLoggable(Level.DEBUG)) {
            final String word = outcome.wireName();
            LogEvent.of("req_answered", "req " + request.content.requestId() + " answered: " + word)
                    .with("req", request.content.requestId())
                    .with("class", request.className)
                    .with("outcome", word)
                    .with("fetches", request.attemptsStarted)
                    .with("ms", (clock.nowUs() - request.takenUs) / US_A_MS)
                    .log(LOG, Level.DEBUG);
        }
        // Checked once it is written: late is still better than never.
        invariant.holds(clock.nowUs() <= request.dueUs, "late answer");
    }

    private void close(ClientRequest request) {
        request.closed = true;
        request.overdue.cancel(false);
        forgetIfDone(request);
        unanswered--;
        // Guards against a send after the answer, or for a client that left: a connection may come
        // up late.
        recall(request, attempt -> true, Outcome.CANCELLED);
    }

    /**
     * Ends those attempts of a request of which no byte can be on the wire: they surely never ran.
     */
    private void recall(ClientRequest request, Predicate<Attempt> which, Outcome outcome) {
        for (final Attempt attempt : List.copyOf(request.out)) {
            if (!attempt.ended
                    && attempt.call != null
                    && !attempt.call.hasBegun()
                    && which.test(attempt)) {
                attempt.call.giveUp();
                end(attempt, outcome, LoadReport.NONE, null);
            }
        }
    }

    /**
     * Takes back what is not yet on its way to a worker that takes no new work any more, listens
     * elsewhere or was started anew: connecting may take longer than the grace of a drain. The
     * module chooses again.
     */
    private void recallMisdirected() {
        for (final ClientRequest request : List.copyOf(open.values())) {
            recall(request, attempt -> !isAsSent(attempt), Outcome.NOT_SENT);
        }
    }

    /** The longest time that a class gives its requests, us. */
    long longestDeadlineUs() {
        return classSettings.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    private boolean isAsSent(Attempt attempt) {
        final Worker now = registry.listed().get(attempt.worker);
        return listener.effectiveState(registry.name(now.id()), now.state()) == WorkerState.READY
                && now.startedAtUs() == attempt.processStartedUs
                && registry.address(now.id()).equals(attempt.addr);
    }

    private void forgetIfDone(ClientRequest request) {
        // Guards against numbering a send wrongly: the module may act for a request whose end it
        // has not heard.
        if (request.closed && request.out.isEmpty() && request.pendingEvents == 0) {
            open.remove(request.id);
            openIds.remove(request.content.requestId());
        }
    }

    /** What a refusal of the node's own advises, us; 0 where no advice is allowed. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** Requests that are owed an answer. */
    public int unanswered() {
        return unanswered;
    }

    /**
     * Answers by then all that is owed, and at once whatever is taken later: this process ends. A
     * request that a worker still has, or may have had, is failed, unless its class may be repeated
     * freely; what surely never ran is refused.
     */
    void answerAllAfter(long delayUs) {
        after(
                delayUs,
                () -> {
                    atItsEnd = true;
                    List.copyOf(open.values()).forEach(this::answerAtTheEnd);
                });
    }

    private void answerAtTheEnd(ClientRequest request) {
        if (!request.closed) {
            gather(request, now -> module.clientLeft(now, request.id));
            hangUp(request);
            final boolean harmless =
                    classSettings.get(request.requestClass).idempotency() == Idempotency.SAFE
                            || !request.mayHaveRun
                                    && request.out.stream()
                                            .noneMatch(attempt -> attempt.call.hasBegun());
            if (harmless && request.streaming == null) {
                answer(
                        request,
                        RequestListener.Answer.REJECTED,
                        0,
                        () -> request.client.localReply(retryAfterUs));
            } else {
                answer(request, RequestListener.Answer.FAILED, 0, request.client::failed);
            }
        }
    }

    // ---- Attempts ----

    private void send(int requestId, int worker, long deadlineUs) {
        final ClientRequest request = open.get(requestId);
        final InetSocketAddress addr = registry.address(worker);
        if (!invariant.holds(request != null && addr != null, "send of or to nobody")) {
            return;
        }
        if (!mayBegin(request) || !request.content.isReplayable()) {
            // The client left, or was answered, in the turn in which the module chose: nothing is
            // sent. Nor
            // is a hedge whose body is partly gone, or whose client is not read; that is no loss of
            // the
            // worker's: cancelled.
            final int number = request.attemptsStarted++;
            final boolean closed = request.closed;
            gather(
                    request,
                    now ->
                            module.attemptEnded(
                                    now,
                                    requestId,
                                    number,
                                    worker,
                                    closed ? Outcome.NOT_SENT : Outcome.CANCELLED,
                                    0,
                                    closed,
                                    LoadReport.NONE));
            return;
        }
        final long nowUs = clock.nowUs();
        final Attempt attempt =
                new Attempt(
                        request,
                        request.attemptsStarted++,
                        registry.listed().get(worker),
                        addr,
                        nowUs,
                        Math.min(deadlineUs, request.deadlineUs));
        request.out.add(attempt);
        request.firstWorker = request.firstWorker < 0 ? worker : request.firstWorker;
        attempt.watch = listener.attemptStarted(nowUs, worker, request.requestClass);
        loads.started(registry.name(worker));
        attempt.giveUp =
                after(
                        remainingUs(attempt),
                        () -> end(attempt, attempt.call.giveUp(), LoadReport.NONE, null));
        try {
            attempt.call = workerClient.attempt(addr, request.content, listenerOf(attempt));
        } catch (RuntimeException e) {
            // Guards against an attempt without an end: what threw before it went out never ran.
            LogEvent.of("fetch_not_started", "a fetch could not be started")
                    .with("req", request.content.requestId())
                    .with("backend", registry.name(worker))
                    .because(e)
                    .log(LOG, Level.ERROR);
            end(attempt, Outcome.CONNECT_FAILED, LoadReport.NONE, null);
        }
    }

    private long remainingUs(Attempt attempt) {
        return Math.max(0, attempt.deadlineUs - clock.nowUs());
    }

    /**
     * Whether an attempt of a request may begin now, asked right before it does: not where its
     * client has gone, or may have gone unseen. Where nothing of it is out the request is closed by
     * that. Not to be called from within the reading of a client's connection.
     */
    private boolean mayBegin(ClientRequest request) {
        if (!request.closed && request.client.hasLeft()) {
            clientLeft(request);
        }
        if (request.closed || request.streaming != null) {
            return false;
        }
        final boolean paused = request.client.readPausedUs() > MAX_READ_PAUSE_US;
        if (paused && request.out.stream().noneMatch(attempt -> attempt.call.hasBegun())) {
            faults.fault(
                    PeerFault.BODY_CAPACITY_EXCEEDED,
                    null,
                    "not sent: reading its client is paused");
            answerWhatIsNotSentAnew(request);
        }
        return !paused;
    }

    private AttemptListener listenerOf(Attempt attempt) {
        return new AttemptListener() {
            @Override
            public boolean mayBegin() {
                final boolean wanted = RequestLifecycle.this.mayBegin(attempt.request);
                if (!attempt.ended && !wanted) {
                    attempt.call.giveUp();
                    end(attempt, Outcome.CANCELLED, LoadReport.NONE, null);
                } else if (!attempt.ended && remainingUs() == 0) {
                    // The loop was busy when its timer was due, and comes to that only after its
                    // reading.
                    end(attempt, attempt.call.giveUp(), LoadReport.NONE, null);
                }
                return !attempt.ended;
            }

            @Override
            public long remainingUs() {
                return RequestLifecycle.this.remainingUs(attempt);
            }

            @Override
            public void progressed(double fractionDone) {
                attempt.watch.progressed(clock.nowUs());
                gather(
                        attempt.request,
                        now ->
                                module.jobProgressed(
                                        now,
                                        attempt.request.id,
                                        attempt.number,
                                        attempt.worker,
                                        fractionDone));
            }

            @Override
            public ResultStream resultBegins(String type, long length, LoadReport report) {
                return RequestLifecycle.this.resultBegins(attempt, type, length, report);
            }

            @Override
            public void resultEnded(boolean whole) {
                RequestLifecycle.this.resultEnded(attempt, whole);
            }

            @Override
            public void ended(Outcome outcome, LoadReport report, String result) {
                end(attempt, outcome, report, result);
            }
        };
    }

    private void end(Attempt attempt, Outcome outcome, LoadReport report, String result) {
        if (!invariant.holds(!attempt.ended, "fetch ended twice")) {
            return;
        }
        attempt.ended = true;
        attempt.giveUp.cancel(false);
        final ClientRequest request = attempt.request;
        if (LOG.isLoggable(Level.DEBUG)) {
            LogEvent.of(
                            "fetch_ended",
                            "fetch "
                                    + attempt.number
                                    + " of "
                                    + request.content.requestId()
                                    + " ended: "
                                    + outcome)
                    .with("req", request.content.requestId())
                    .with("class", request.className)
                    .with("backend", registry.name(attempt.worker))
                    .with("fetch", attempt.number)
                    .with("outcome", outcome.wireName())
                    .with("ms", (clock.nowUs() - attempt.sentUs) / US_A_MS)
                    .log(LOG, Level.DEBUG);
        }
        final long endedUs = clock.nowUs();
        attempt.watch.ended(endedUs, outcome, report);
        loads.ended(registry.name(attempt.worker));
        loads.reported(registry.name(attempt.worker), report);
        if (outcome == Outcome.SERVED && !request.closed && request.streaming == null) {
            answer(
                    request,
                    RequestListener.Answer.SERVED,
                    attempt.watch.ranUs(endedUs),
                    () -> request.client.served(result));
        }
        request.out.remove(attempt);
        request.mayHaveRun |= mayHaveRun(outcome);
        if (!request.closed
                && request.streaming == null
                && request.out.isEmpty()
                && !request.content.isReplayable()) {
            answerWhatIsNotSentAnew(request);
        }
        forgetIfDone(request);
        final long elapsedUs = clock.nowUs() - attempt.sentUs;
        // Nothing is owed by the module once a result is on its way.
        gather(
                request,
                now ->
                        module.attemptEnded(
                                now,
                                request.id,
                                attempt.number,
                                attempt.worker,
                                outcome,
                                elapsedUs,
                                request.closed || request.streaming != null,
                                report));
        if (outcome == Outcome.SERVED && request.streaming == null) {
            giveUpOthers(request, attempt);
        }
    }

    /**
     * Gives up every attempt of a request but the one that answers it, and tells the module that
     * they were cancelled: no blame on their workers. Guards against a copy that waits in a
     * worker's queue behind others' jobs and would run there for nobody; the worker may drop it
     * once its connection is closed.
     */
    private void giveUpOthers(ClientRequest request, Attempt answering) {
        for (final Attempt other : List.copyOf(request.out)) {
            if (other != answering) {
                other.call.giveUp();
                end(other, Outcome.CANCELLED, LoadReport.NONE, null);
            }
        }
    }

    /**
     * A job makes a long result, which is the answer from here on: other copies are given up. For
     * the module the attempt ends here, as served. From now on its pace is the client's, and a
     * worker would be taken for slow, and the class for long, by how fast somebody reads.
     */
    private ResultStream resultBegins(
            Attempt attempt, String type, long length, LoadReport report) {
        final ClientRequest request = attempt.request;
        if (request.closed) {
            end(attempt, Outcome.SERVED, report, null);
            return ResultStream.DISCARDING;
        }
        request.result = request.client.resultBegins(type, length);
        if (request.result == null) {
            return null;
        }
        request.streaming = attempt;
        giveUpOthers(request, attempt);
        request.overdue.cancel(false);
        if (deadlineToFirst.get(request.requestClass)) {
            request.dueUs = Long.MAX_VALUE;
        } else {
            request.overdue =
                    after(
                            Math.max(0, request.deadlineUs - clock.nowUs()),
                            () -> {
                                hangUp(request);
                                resultEnded(attempt, false);
                            });
        }
        end(attempt, Outcome.SERVED, report, null);
        return request.result;
    }

    private void resultEnded(Attempt attempt, boolean whole) {
        final ClientRequest request = attempt.request;
        if (!request.closed) {
            final ResultStream result = request.result;
            answer(
                    request,
                    whole ? RequestListener.Answer.SERVED : RequestListener.Answer.FAILED,
                    0,
                    () -> result.finish(whole));
        }
    }

    /** An attempt is cancelled only before its last byte went out. */
    private boolean mayHaveRun(Outcome outcome) {
        return outcome != Outcome.CONNECT_FAILED
                && outcome != Outcome.NOT_SENT
                && outcome != Outcome.CANCELLED
                && (outcome != Outcome.FULL || fullMayHaveRun);
    }

    /**
     * Guards against repeats that would end one by one, each told as a loss at a worker that saw
     * nothing of them: where the body is partly gone, no choice is left to the module, which hears
     * that it is closed.
     */
    private void answerWhatIsNotSentAnew(ClientRequest request) {
        if (request.mayHaveRun) {
            answer(request, RequestListener.Answer.FAILED, 0, request.client::failed);
        } else {
            answer(
                    request,
                    RequestListener.Answer.REJECTED,
                    0,
                    () -> request.client.localReply(retryAfterUs));
        }
    }

    /** The load of these workers is known anew: the module learns it without having asked. */
    void loadsRefreshed(Collection<String> workers) {
        workers.stream()
                .map(registry::number)
                .filter(
                        number ->
                                number >= 0
                                        && registry.listed().get(number).state()
                                                == WorkerState.READY)
                .forEach(this::probe);
    }

    private void probe(int worker) {
        final InetSocketAddress addr = registry.address(worker);
        if (!invariant.holds(addr != null, "probe of nobody")) {
            return;
        }
        final OptionalInt known = loads.outstanding(registry.name(worker));
        if (known.isPresent()) {
            final LoadReport report = new LoadReport(-1, known.getAsInt(), -1);
            gather(null, now -> module.loadReported(now, worker, Outcome.SERVED, report));
            return;
        }
        workerClient.queryLoad(
                addr,
                (outcome, report) -> {
                    listener.loadReported(clock.nowUs(), worker, report);
                    loads.reported(registry.name(worker), report);
                    gather(null, now -> module.loadReported(now, worker, outcome, report));
                });
    }

    // ---- Discovery's list ----

    /** Discovery's answer to a watch. */
    public void endpointListReceived(EndpointList list) {
        publishList(list.full() ? EndpointListForm.FULL : EndpointListForm.CHANGES, list);
    }

    /** The watch has failed; the list stands. */
    public void discoveryFailed() {
        gather(null, now -> module.endpointListChanged(now, EndpointListForm.FAILED, List.of()));
    }

    /** Version of the list that is held, or -1. */
    public long listVersion() {
        return registry.version();
    }

    private void publishList(EndpointListForm form, EndpointList list) {
        final List<Worker> told = registry.apply(list);
        told.forEach(each -> loads.listed(registry.name(each.id())));
        final List<Worker> workers = over(told);
        ready |= workers.stream().anyMatch(worker -> worker.state() == WorkerState.READY);
        listUpdatedAtUs = clock.nowUs();
        // A whole list says of those that it leaves out that they are gone.
        listener.endpointListChanged(listUpdatedAtUs, list.full() ? registry.listed() : told);
        gather(null, now -> module.endpointListChanged(now, form, workers));
        recallMisdirected();
    }

    /** The list as the module is to hear it. */
    private List<Worker> over(List<Worker> workers) {
        return workers.stream()
                .map(
                        each -> {
                            final WorkerState state =
                                    listener.effectiveState(registry.name(each.id()), each.state());
                            return state == each.state()
                                    ? each
                                    : new Worker(
                                            each.id(),
                                            each.zone(),
                                            each.kind(),
                                            each.cell(),
                                            state,
                                            each.weight(),
                                            each.startedAtUs());
                        })
                .toList();
    }

    /** Tells the module anew of these workers, over which something else lies now. */
    void republish(Collection<String> names) {
        final List<Worker> listed =
                names.stream()
                        .map(registry::number)
                        .filter(number -> number >= 0)
                        .map(registry.listed()::get)
                        .filter(each -> each.state() != WorkerState.GONE)
                        .toList();
        if (!listed.isEmpty()) {
            final List<Worker> workers = over(listed);
            gather(null, now -> module.endpointListChanged(now, EndpointListForm.CHANGES, workers));
            recallMisdirected();
        }
    }

    /**
     * Cells in which keyed requests that are open must be repeated, as their first attempt went
     * there.
     */
    Set<Integer> boundCells() {
        final Set<Integer> cells = new HashSet<>();
        for (final ClientRequest request : open.values()) {
            final RequestClass stated = classSettings.get(request.requestClass);
            if (!request.closed
                    && request.firstWorker >= 0
                    && stated.idempotency() == Idempotency.KEYED
                    && stated.deduplicationScope() == DeduplicationScope.CELL) {
                cells.add(registry.listed().get(request.firstWorker).cell());
            }
        }
        return cells;
    }

    WorkerRegistry registry() {
        return registry;
    }

    /** When the list, or that nothing in it has changed, was last heard; 0 before that. */
    long listUpdatedAtUs() {
        return listUpdatedAtUs;
    }

    /** Whether requests can be served: the module has been told of a worker that takes work. */
    public boolean isReady() {
        return ready;
    }

    // ---- The loop ----

    private record Event(ClientRequest request, LongConsumer tell) {}

    /** Keeps what happened for the turn that follows once the loop has read all that is ready. */
    private void gather(ClientRequest request, LongConsumer tell) {
        gathered.add(new Event(request, tell));
        if (request != null) {
            request.pendingEvents++;
        }
        if (!turnDue) {
            turnDue = true;
            loop.execute(this::turn);
        }
    }

    private void turn() {
        turnDue = false;
        final List<Event> events = gathered;
        gathered = new ArrayList<>();
        final long nowUs = clock.nowUs();
        for (final Event event : events) {
            try {
                event.tell().accept(nowUs);
            } catch (RuntimeException e) {
                moduleFailed(event.request(), e);
            }
        }
        final List<Runnable> due = List.copyOf(actions);
        actions.clear();
        for (final Runnable action : due) {
            try {
                action.run();
            } catch (RuntimeException e) {
                LogEvent.of("action_failed", "an action of the module failed")
                        .because(e)
                        .log(LOG, Level.ERROR);
                invariant.holds(false, "action failed");
            }
        }
        for (final Event event : events) {
            if (event.request() != null) {
                event.request().pendingEvents--;
                forgetIfDone(event.request());
            }
        }
    }

    /**
     * Guards against a request left unanswered because the module threw while it was told of it.
     */
    private void moduleFailed(ClientRequest request, RuntimeException e) {
        LogEvent.of("module_failed", "the module failed on an event")
                .because(e)
                .log(LOG, Level.ERROR);
        if (request != null && !request.closed) {
            failUnasked(request);
        }
        invariant.holds(false, "module failed");
    }

    /**
     * Fails a request that the module did not answer, and tells the module that nothing is owed any
     * more.
     */
    private void failUnasked(ClientRequest request) {
        gather(request, now -> module.clientLeft(now, request.id));
        hangUp(request);
        answer(request, RequestListener.Answer.FAILED, 0, request.client::failed);
    }

    private Future<?> after(long delayUs, Runnable then) {
        return loop.schedule(then, delayUs, TimeUnit.MICROSECONDS);
    }

    /** What must hold, and how often it did not. */
    public Invariant invariant() {
        return invariant;
    }

    /** Where faults are counted and logged. */
    public RateLimitedLog faults() {
        return faults;
    }

    /** Keeps the module's actions, to be carried out in order once it has heard all of a turn. */
    private final class GatheredActions implements DispatcherActions {

        @Override
        public void send(int requestId, int workerId, long deadlineUs) {
            actions.add(() -> RequestLifecycle.this.send(requestId, workerId, deadlineUs));
        }

        @Override
        public void reject(int requestId, long retryAfterUs) {
            actions.add(
                    () ->
                            answerOpen(
                                    requestId,
                                    RequestListener.Answer.REJECTED,
                                    client -> client.localReply(retryAfterUs)));
        }

        @Override
        public void fail(int requestId) {
            actions.add(
                    () ->
                            answerOpen(
                                    requestId,
                                    RequestListener.Answer.FAILED,
                                    ResponseListener::failed));
        }

        private void answerOpen(
                int requestId, RequestListener.Answer outcome, Consumer<ResponseListener> answer) {
            final ClientRequest request = open.get(requestId);
            if (request != null) {
                answer(request, outcome, 0, () -> answer.accept(request.client));
            }
        }

        @Override
        public void startTimer(long token, long delayUs) {
            actions.add(
                    () -> after(delayUs, () -> gather(null, now -> module.timerFired(now, token))));
        }

        @Override
        public void pollEndpointList() {
            actions.add(() -> discovery.watch());
        }

        @Override
        public void queryLoad(int workerId) {
            actions.add(() -> RequestLifecycle.this.probe(workerId));
        }

        @Override
        public void reportUnresponsive(int workerId, int requestClass) {
            // Nodes have no way to talk to each other here; the settings do not allow it.
            invariant.holds(false, "peer message");
        }

        @Override
        public void closeIdleConnections(int workerId) {
            actions.add(
                    () -> {
                        final InetSocketAddress addr = registry.address(workerId);
                        if (addr != null) {
                            workerClient.closeIdle(addr);
                        }
                    });
        }
    }
}
