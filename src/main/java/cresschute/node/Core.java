package cresschute.node;

import cresschute.dispatch.Actions;
import cresschute.dispatch.Effect;
import cresschute.dispatch.Events;
import cresschute.dispatch.Job;
import cresschute.dispatch.ListForm;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.RepeatScope;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Settings;
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
 * Owner of all open reqs and fetches, between the fronts, the backends, the director and the module. All of
 * it happens on one loop: what is ready there is gathered, handed to the module in one turn, and then the
 * module's actions are carried out in order. It decides nothing by itself.
 */
public final class Core {

    /** Taken off a req's time, us: the way of the answer, and of the req before its last byte was read. */
    static final long ANSWER_MARGIN_US = 15_000;
    /** Past its due time by this, us, a req that the module left unanswered is failed by the node. */
    static final long OVERDUE_US = 10_000;
    /**
     * No attempt begins once reading its client has been paused for longer than this, us: the client may have
     * closed its connection as soon as the pause began, and its close is seen only where reading goes on.
     * With the time from this check to the first byte, which is one call of the loop, an attempt begins less
     * than 100 ms after an unseen close.
     */
    static final long MAX_READ_PAUSE_US = 80_000;
    /** When to come back with what the node itself turns away, us, where advice is allowed. */
    private static final long OWN_RETRY_US = 1_000_000;
    private static final long US_A_MS = 1_000;
    private static final Logger LOG = System.getLogger("cresschute.core");

    private final ScheduledExecutorService loop;
    private final Clock clock;
    private final RateLimitedLog troubles;
    private final Invariant invariant = new Invariant();
    private final Roster roster;
    private List<String> classes;
    private List<RequestClass> classSettings;
    private boolean fullMayHaveRun;
    /** For each class, whether the first byte of a long result is what must be in time. */
    private List<Boolean> deadlineToFirst;
    /** Advice of the node's own refusals, us. */
    private long retryAfterUs;
    private final CoreWatcher watcher;
    private final LoadKnowledge loads;
    private final Events module;
    private final Map<Integer, Req> open = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final List<Runnable> actions = new ArrayList<>();
    private List<Event> gathered = new ArrayList<>();
    private boolean turnDue;
    private boolean ready;
    /** Whether nothing is waited for any more, as the process ends. */
    private boolean atItsEnd;
    private int lastReqId;
    private int owed;
    private long listHeardUs;
    private Backends backends;
    private Director director;

    /** A core that nobody watches. */
    public Core(NodeConfig config, ScheduledExecutorService loop, Clock clock, RateLimitedLog troubles,
        Function<Actions, Events> module) {
        this(config, loop, clock, troubles, CoreWatcher.NONE, module);
    }

    /**
     * A core without its ways out; {@code module} builds the decision module around its actions, and
     * {@code watcher} hears what passes and may lay drains over the list.
     */
    Core(NodeConfig config, ScheduledExecutorService loop, Clock clock, RateLimitedLog troubles,
        CoreWatcher watcher, Function<Actions, Events> module) {
        this(config, loop, clock, troubles, watcher, LoadKnowledge.NONE, module);
    }

    /** The same, with workers' loads known to {@code loads} where it answers. */
    Core(NodeConfig config, ScheduledExecutorService loop, Clock clock, RateLimitedLog troubles,
        CoreWatcher watcher, LoadKnowledge loads, Function<Actions, Events> module) {
        this.loop = loop;
        this.clock = clock;
        this.troubles = troubles;
        this.roster = new Roster(config.zones(), config.kinds());
        this.classes = config.classes();
        this.classSettings = config.settings().classes();
        this.deadlineToFirst = config.bodies() == null ? Collections.nCopies(classes.size(), false)
            : config.bodies().classes().stream().map(ClassBodies::deadlineToFirst).toList();
        this.fullMayHaveRun = config.settings().fullMayHaveRun();
        this.retryAfterUs = Math.min(OWN_RETRY_US, config.settings().limits().maxRetryAfterUs());
        this.watcher = watcher;
        this.loads = loads;
        this.module = module.apply(new GatheredActions());
    }

    /**
     * Takes settings that changed while it runs, on the loop: {@code classes} by the numbers that the
     * module knows them by, retired ones too, and what the module is to hear. Reqs under way keep their
     * class; the module hears of the change before any req that comes after it.
     */
    void retune(List<String> names, Settings told) {
        classes = names;
        classSettings = told.classes();
        if (deadlineToFirst.size() < names.size()) {
            // Where classes can change, long results are off: their deadline counts to the last byte.
            final List<Boolean> grown = new ArrayList<>(deadlineToFirst);
            grown.addAll(Collections.nCopies(names.size() - deadlineToFirst.size(), false));
            deadlineToFirst = List.copyOf(grown);
        }
        fullMayHaveRun = told.fullMayHaveRun();
        retryAfterUs = Math.min(OWN_RETRY_US, told.limits().maxRetryAfterUs());
        gather(null, now -> module.retuned(now, told));
    }

    /** Begins to work: the module hears of the list as it is known, then the director is asked. */
    public void start(Backends toBackends, Director toDirector, DirectorList known) {
        backends = toBackends;
        director = toDirector;
        tellList(ListForm.CACHED, known);
    }

    // ---- Reqs ----

    /** Whether a req under this id of its client's is owed an answer or has fetches out. */
    public boolean isOpen(String requestId) {
        return openIds.contains(requestId);
    }

    /** Takes a req that is to be answered within this time; its client hears of it exactly once. */
    public Req take(ReqContent content, Job job, long waitUs, ReqClient client) {
        final long nowUs = clock.nowUs();
        final long giveUpUs = nowUs + Math.max(0, waitUs - ANSWER_MARGIN_US);
        final Req req = new Req(++lastReqId, content, classes.get(job.requestClass()), job.requestClass(),
            nowUs, nowUs + waitUs, giveUpUs, client);
        open.put(req.id, req);
        openIds.add(content.requestId());
        owed++;
        watcher.asked(nowUs, req.requestClass);
        // Guards against a req that the module forgets or fails on: it is never left without an answer.
        req.overdue = after(waitUs + OVERDUE_US, () -> {
            failUnasked(req);
            invariant.holds(false, "req overdue");
        });
        if (atItsEnd) {
            answer(req, CoreWatcher.Answer.REFUSED, 0, () -> client.syntheticAnswer(retryAfterUs));
            return req;
        }
        gather(req, now -> module.requested(now, req.id, job, giveUpUs));
        return req;
    }

    /**
     * The client of a req has gone: nothing is owed any more. What has a byte on the wire runs on; a fetch
     * whose connection is still coming up is given up, so that nothing is sent for nobody.
     */
    public void clientLeft(Req req) {
        if (!req.closed) {
            hangUp(req);
            gather(req, now -> module.clientLeft(now, req.id));
            close(req);
            watched(req, CoreWatcher.Answer.LEFT, 0);
        }
    }

    /** Nobody reads a long result any more. */
    private static void hangUp(Req req) {
        if (req.streaming != null) {
            req.streaming.call.giveUp();
        }
    }

    private void watched(Req req, CoreWatcher.Answer answer, long ranUs) {
        final long nowUs = clock.nowUs();
        watcher.answered(nowUs, req.requestClass, answer, req.fetchesStarted, nowUs - req.takenUs, ranUs);
    }

    /** The one place where a client gets its answer. */
    private void answer(Req req, CoreWatcher.Answer outcome, long ranUs, Runnable answer) {
        if (req.closed) {
            // The client may have left in the same turn; a second answer may not happen.
            invariant.holds(!req.answered, "second answer");
            return;
        }
        req.answered = true;
        try {
            answer.run();
        } finally {
            close(req);
        }
        watched(req, outcome, ranUs);
        if (LOG.isLoggable(Level.DEBUG)) {
            final String word = outcome.wireName();
            LogEvent.of("req_answered", "req " + req.content.requestId() + " answered: " + word)
                .with("req", req.content.requestId()).with("class", req.className).with("outcome", word)
                .with("fetches", req.fetchesStarted).with("ms", (clock.nowUs() - req.takenUs) / US_A_MS)
                .log(LOG, Level.DEBUG);
        }
        // Checked once it is written: late is still better than never.
        invariant.holds(clock.nowUs() <= req.dueUs, "late answer");
    }

    private void close(Req req) {
        req.closed = true;
        req.overdue.cancel(false);
        forgetIfDone(req);
        owed--;
        // Guards against a send after the answer, or for a client that left: a connection may come up late.
        recall(req, fetch -> true, Outcome.CANCELLED);
    }

    /** Ends those fetches of a req of which no byte can be on the wire: they surely never ran. */
    private void recall(Req req, Predicate<Fetch> which, Outcome outcome) {
        for (final Fetch fetch : List.copyOf(req.out)) {
            if (!fetch.ended && fetch.call != null && !fetch.call.hasBegun() && which.test(fetch)) {
                fetch.call.giveUp();
                end(fetch, outcome, LoadReport.NONE, null);
            }
        }
    }

    /**
     * Takes back what is not yet on its way to a backend that takes no new work any more, listens elsewhere
     * or was started anew: connecting may take longer than the grace of a drain. The module chooses again.
     */
    private void recallMisdirected() {
        for (final Req req : List.copyOf(open.values())) {
            recall(req, fetch -> !isAsSent(fetch), Outcome.NOT_SENT);
        }
    }

    /** The longest time that a class gives its reqs, us. */
    long longestDeadlineUs() {
        return classSettings.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    private boolean isAsSent(Fetch fetch) {
        final Worker now = roster.listed().get(fetch.backend);
        return watcher.over(roster.name(now.id()), now.state()) == WorkerState.READY
            && now.startedAtUs() == fetch.processStartedUs && roster.address(now.id()).equals(fetch.addr);
    }

    private void forgetIfDone(Req req) {
        // Guards against numbering a send wrongly: the module may act for a req whose end it has not heard.
        if (req.closed && req.out.isEmpty() && req.untold == 0) {
            open.remove(req.id);
            openIds.remove(req.content.requestId());
        }
    }

    /** What a refusal of the node's own advises, us; 0 where no advice is allowed. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** Reqs that are owed an answer. */
    public int owed() {
        return owed;
    }

    /**
     * Answers by then all that is owed, and at once whatever is taken later: this process ends. A req that a
     * backend still has, or may have had, is failed, unless its class may be repeated freely; what surely
     * never ran is refused.
     */
    void answerAllAfter(long delayUs) {
        after(delayUs, () -> {
            atItsEnd = true;
            List.copyOf(open.values()).forEach(this::answerAtTheEnd);
        });
    }

    private void answerAtTheEnd(Req req) {
        if (!req.closed) {
            gather(req, now -> module.clientLeft(now, req.id));
            hangUp(req);
            final boolean harmless = classSettings.get(req.requestClass).effect() == Effect.SAFE
                || !req.mayHaveRun && req.out.stream().noneMatch(fetch -> fetch.call.hasBegun());
            if (harmless && req.streaming == null) {
                answer(req, CoreWatcher.Answer.REFUSED, 0, () -> req.client.syntheticAnswer(retryAfterUs));
            } else {
                answer(req, CoreWatcher.Answer.FAILED, 0, req.client::failed);
            }
        }
    }

    // ---- Fetches ----

    private void send(int reqId, int backend, long giveUpUs) {
        final Req req = open.get(reqId);
        final InetSocketAddress addr = roster.address(backend);
        if (!invariant.holds(req != null && addr != null, "send of or to nobody")) {
            return;
        }
        if (!mayBegin(req) || !req.content.canBeSentAnew()) {
            // The client left, or was answered, in the turn in which the module chose: nothing is sent. Nor
            // is a hedge whose body is partly gone, or whose client is not read; that is no loss of the
            // worker's: cancelled.
            final int number = req.fetchesStarted++;
            final boolean closed = req.closed;
            gather(req, now -> module.ended(now, reqId, number, backend,
                closed ? Outcome.NOT_SENT : Outcome.CANCELLED, 0, closed, LoadReport.NONE));
            return;
        }
        final long nowUs = clock.nowUs();
        final Fetch fetch = new Fetch(req, req.fetchesStarted++, roster.listed().get(backend), addr, nowUs,
            Math.min(giveUpUs, req.giveUpUs));
        req.out.add(fetch);
        req.firstBackend = req.firstBackend < 0 ? backend : req.firstBackend;
        fetch.watch = watcher.sent(nowUs, backend, req.requestClass);
        loads.started(roster.name(backend));
        fetch.giveUp = after(remainingUs(fetch),
            () -> end(fetch, fetch.call.giveUp(), LoadReport.NONE, null));
        try {
            fetch.call = backends.fetch(addr, req.content, listenerOf(fetch));
        } catch (RuntimeException e) {
            // Guards against a fetch without an end: what threw before it went out never ran.
            LogEvent.of("fetch_not_started", "a fetch could not be started")
                .with("req", req.content.requestId()).with("backend", roster.name(backend)).because(e)
                .log(LOG, Level.ERROR);
            end(fetch, Outcome.CONNECT_FAILED, LoadReport.NONE, null);
        }
    }

    private long remainingUs(Fetch fetch) {
        return Math.max(0, fetch.deadlineUs - clock.nowUs());
    }

    /**
     * Whether an attempt of a request may begin now, asked right before it does: not where its client has
     * gone, or may have gone unseen. Where nothing of it is out the request is closed by that. Not to be
     * called from within the reading of a client's connection.
     */
    private boolean mayBegin(Req req) {
        if (!req.closed && req.client.hasLeft()) {
            clientLeft(req);
        }
        if (req.closed || req.streaming != null) {
            return false;
        }
        final boolean paused = req.client.readPausedUs() > MAX_READ_PAUSE_US;
        if (paused && req.out.stream().noneMatch(fetch -> fetch.call.hasBegun())) {
            troubles.trouble(Trouble.NO_ROOM_FOR_BODY, null, "not sent: reading its client is paused");
            answerWhatIsNotSentAnew(req);
        }
        return !paused;
    }

    private Backends.FetchListener listenerOf(Fetch fetch) {
        return new Backends.FetchListener() {
            @Override
            public boolean mayBegin() {
                final boolean wanted = Core.this.mayBegin(fetch.req);
                if (!fetch.ended && !wanted) {
                    fetch.call.giveUp();
                    end(fetch, Outcome.CANCELLED, LoadReport.NONE, null);
                } else if (!fetch.ended && remainingUs() == 0) {
                    // The loop was busy when its timer was due, and comes to that only after its reading.
                    end(fetch, fetch.call.giveUp(), LoadReport.NONE, null);
                }
                return !fetch.ended;
            }

            @Override
            public long remainingUs() {
                return Core.this.remainingUs(fetch);
            }

            @Override
            public void progressed(double shareDone) {
                fetch.watch.told(clock.nowUs());
                gather(fetch.req, now -> module.jobProgressed(now, fetch.req.id, fetch.number, fetch.backend,
                    shareDone));
            }

            @Override
            public ResultStream resultBegins(String type, long length, LoadReport report) {
                return Core.this.resultBegins(fetch, type, length, report);
            }

            @Override
            public void resultEnded(boolean whole) {
                Core.this.resultEnded(fetch, whole);
            }

            @Override
            public void ended(Outcome outcome, LoadReport report, String result) {
                end(fetch, outcome, report, result);
            }
        };
    }

    private void end(Fetch fetch, Outcome outcome, LoadReport report, String result) {
        if (!invariant.holds(!fetch.ended, "fetch ended twice")) {
            return;
        }
        fetch.ended = true;
        fetch.giveUp.cancel(false);
        final Req req = fetch.req;
        if (LOG.isLoggable(Level.DEBUG)) {
            LogEvent.of("fetch_ended", "fetch " + fetch.number + " of " + req.content.requestId() + " ended: "
                + outcome)
                .with("req", req.content.requestId()).with("class", req.className)
                .with("backend", roster.name(fetch.backend)).with("fetch", fetch.number)
                .with("outcome", outcome.wireName()).with("ms", (clock.nowUs() - fetch.sentUs) / US_A_MS)
                .log(LOG, Level.DEBUG);
        }
        final long endedUs = clock.nowUs();
        fetch.watch.ended(endedUs, outcome, report);
        loads.ended(roster.name(fetch.backend));
        loads.reported(roster.name(fetch.backend), report);
        if (outcome == Outcome.SERVED && !req.closed && req.streaming == null) {
            answer(req, CoreWatcher.Answer.SERVED, fetch.watch.ranUs(endedUs),
                () -> req.client.served(result));
        }
        req.out.remove(fetch);
        req.mayHaveRun |= mayHaveRun(outcome);
        if (!req.closed && req.streaming == null && req.out.isEmpty() && !req.content.canBeSentAnew()) {
            answerWhatIsNotSentAnew(req);
        }
        forgetIfDone(req);
        final long elapsedUs = clock.nowUs() - fetch.sentUs;
        // Nothing is owed by the module once a result is on its way.
        gather(req, now -> module.ended(now, req.id, fetch.number, fetch.backend, outcome, elapsedUs,
            req.closed || req.streaming != null, report));
        if (outcome == Outcome.SERVED && req.streaming == null) {
            giveUpOthers(req, fetch);
        }
    }

    /**
     * Gives up every fetch of a req but the one that answers it, and tells the module that they were
     * cancelled: no blame on their backends. Guards against a copy that waits in a backend's queue behind
     * others' jobs and would run there for nobody; the backend may drop it once its connection is closed.
     */
    private void giveUpOthers(Req req, Fetch answering) {
        for (final Fetch other : List.copyOf(req.out)) {
            if (other != answering) {
                other.call.giveUp();
                end(other, Outcome.CANCELLED, LoadReport.NONE, null);
            }
        }
    }

    /**
     * A job makes a long result, which is the answer from here on: other copies are given up. For the module
     * the fetch ends here, as served. From now on its pace is the client's, and a worker would be taken for
     * slow, and the class for long, by how fast somebody reads.
     */
    private ResultStream resultBegins(Fetch fetch, String type, long length, LoadReport report) {
        final Req req = fetch.req;
        if (req.closed) {
            end(fetch, Outcome.SERVED, report, null);
            return ResultStream.NOWHERE;
        }
        req.result = req.client.streams(type, length);
        if (req.result == null) {
            return null;
        }
        req.streaming = fetch;
        giveUpOthers(req, fetch);
        req.overdue.cancel(false);
        if (deadlineToFirst.get(req.requestClass)) {
            req.dueUs = Long.MAX_VALUE;
        } else {
            req.overdue = after(Math.max(0, req.giveUpUs - clock.nowUs()), () -> {
                hangUp(req);
                resultEnded(fetch, false);
            });
        }
        end(fetch, Outcome.SERVED, report, null);
        return req.result;
    }

    private void resultEnded(Fetch fetch, boolean whole) {
        final Req req = fetch.req;
        if (!req.closed) {
            final ResultStream result = req.result;
            answer(req, whole ? CoreWatcher.Answer.SERVED : CoreWatcher.Answer.FAILED, 0,
                () -> result.finish(whole));
        }
    }

    /** A fetch is cancelled only before its last byte went out. */
    private boolean mayHaveRun(Outcome outcome) {
        return outcome != Outcome.CONNECT_FAILED && outcome != Outcome.NOT_SENT
            && outcome != Outcome.CANCELLED && (outcome != Outcome.FULL || fullMayHaveRun);
    }

    /**
     * Guards against repeats that would end one by one, each told as a loss at a backend that saw nothing of
     * them: where the body is partly gone, no choice is left to the module, which hears that it is closed.
     */
    private void answerWhatIsNotSentAnew(Req req) {
        if (req.mayHaveRun) {
            answer(req, CoreWatcher.Answer.FAILED, 0, req.client::failed);
        } else {
            answer(req, CoreWatcher.Answer.REFUSED, 0, () -> req.client.syntheticAnswer(retryAfterUs));
        }
    }

    /** The load of these workers is known anew: the module learns it without having asked. */
    void loadsRefreshed(Collection<String> workers) {
        workers.stream().map(roster::number).filter(number -> number >= 0
            && roster.listed().get(number).state() == WorkerState.READY).forEach(this::probe);
    }

    private void probe(int backend) {
        final InetSocketAddress addr = roster.address(backend);
        if (!invariant.holds(addr != null, "probe of nobody")) {
            return;
        }
        final OptionalInt known = loads.outstanding(roster.name(backend));
        if (known.isPresent()) {
            final LoadReport report = new LoadReport(-1, known.getAsInt(), -1);
            gather(null, now -> module.probed(now, backend, Outcome.SERVED, report));
            return;
        }
        backends.probe(addr, (outcome, report) -> {
            watcher.probed(clock.nowUs(), backend, report);
            loads.reported(roster.name(backend), report);
            gather(null, now -> module.probed(now, backend, outcome, report));
        });
    }

    // ---- The director's list ----

    /** The director's answer to a watch. */
    public void directorTold(DirectorList list) {
        tellList(list.full() ? ListForm.FULL : ListForm.CHANGES, list);
    }

    /** The watch has failed; the list stands. */
    public void directorFailed() {
        gather(null, now -> module.listed(now, ListForm.FAILED, List.of()));
    }

    /** Version of the list that is held, or -1. */
    public long listVersion() {
        return roster.version();
    }

    private void tellList(ListForm form, DirectorList list) {
        final List<Worker> told = roster.take(list);
        told.forEach(each -> loads.listed(roster.name(each.id())));
        final List<Worker> workers = over(told);
        ready |= workers.stream().anyMatch(worker -> worker.state() == WorkerState.READY);
        listHeardUs = clock.nowUs();
        // A whole list says of those that it leaves out that they are gone.
        watcher.listed(listHeardUs, list.full() ? roster.listed() : told);
        gather(null, now -> module.listed(now, form, workers));
        recallMisdirected();
    }

    /** The list as the module is to hear it. */
    private List<Worker> over(List<Worker> workers) {
        return workers.stream().map(each -> {
            final WorkerState state = watcher.over(roster.name(each.id()), each.state());
            return state == each.state() ? each : new Worker(each.id(), each.zone(), each.kind(), each.cell(),
                state, each.weight(), each.startedAtUs());
        }).toList();
    }

    /** Tells the module anew of these backends, over which something else lies now. */
    void relist(Collection<String> names) {
        final List<Worker> listed = names.stream().map(roster::number).filter(number -> number >= 0)
            .map(roster.listed()::get).filter(each -> each.state() != WorkerState.GONE).toList();
        if (!listed.isEmpty()) {
            final List<Worker> workers = over(listed);
            gather(null, now -> module.listed(now, ListForm.CHANGES, workers));
            recallMisdirected();
        }
    }

    /** Cells in which keyed reqs that are open must be repeated, as their first fetch went there. */
    Set<Integer> boundCells() {
        final Set<Integer> cells = new HashSet<>();
        for (final Req req : open.values()) {
            final RequestClass stated = classSettings.get(req.requestClass);
            if (!req.closed && req.firstBackend >= 0 && stated.effect() == Effect.KEYED
                && stated.scope() == RepeatScope.CELL) {
                cells.add(roster.listed().get(req.firstBackend).cell());
            }
        }
        return cells;
    }

    Roster roster() {
        return roster;
    }

    /** When the list, or that nothing in it has changed, was last heard; 0 before that. */
    long listHeardUs() {
        return listHeardUs;
    }

    /** Whether reqs can be served: the module has been told of a backend that takes work. */
    public boolean isReady() {
        return ready;
    }

    // ---- The loop ----

    private record Event(Req req, LongConsumer tell) {}

    /** Keeps what happened for the turn that follows once the loop has read all that is ready. */
    private void gather(Req req, LongConsumer tell) {
        gathered.add(new Event(req, tell));
        if (req != null) {
            req.untold++;
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
                moduleFailed(event.req(), e);
            }
        }
        final List<Runnable> due = List.copyOf(actions);
        actions.clear();
        for (final Runnable action : due) {
            try {
                action.run();
            } catch (RuntimeException e) {
                LogEvent.of("action_failed", "an action of the module failed").because(e).log(LOG,
                    Level.ERROR);
                invariant.holds(false, "action failed");
            }
        }
        for (final Event event : events) {
            if (event.req() != null) {
                event.req().untold--;
                forgetIfDone(event.req());
            }
        }
    }

    /** Guards against a req left unanswered because the module threw while it was told of it. */
    private void moduleFailed(Req req, RuntimeException e) {
        LogEvent.of("module_failed", "the module failed on an event").because(e).log(LOG, Level.ERROR);
        if (req != null && !req.closed) {
            failUnasked(req);
        }
        invariant.holds(false, "module failed");
    }

    /** Fails a req that the module did not answer, and tells the module that nothing is owed any more. */
    private void failUnasked(Req req) {
        gather(req, now -> module.clientLeft(now, req.id));
        hangUp(req);
        answer(req, CoreWatcher.Answer.FAILED, 0, req.client::failed);
    }

    private Future<?> after(long delayUs, Runnable then) {
        return loop.schedule(then, delayUs, TimeUnit.MICROSECONDS);
    }

    /** What must hold, and how often it did not. */
    public Invariant invariant() {
        return invariant;
    }

    /** Where troubles are counted and logged. */
    public RateLimitedLog troubles() {
        return troubles;
    }

    /** Keeps the module's actions, to be carried out in order once it has heard all of a turn. */
    private final class GatheredActions implements Actions {

        @Override
        public void send(int requestId, int workerId, long giveUpUs) {
            actions.add(() -> Core.this.send(requestId, workerId, giveUpUs));
        }

        @Override
        public void refuse(int requestId, long retryAfterUs) {
            actions.add(() -> answerOpen(requestId, CoreWatcher.Answer.REFUSED,
                client -> client.syntheticAnswer(retryAfterUs)));
        }

        @Override
        public void fail(int requestId) {
            actions.add(() -> answerOpen(requestId, CoreWatcher.Answer.FAILED, ReqClient::failed));
        }

        private void answerOpen(int requestId, CoreWatcher.Answer outcome, Consumer<ReqClient> answer) {
            final Req req = open.get(requestId);
            if (req != null) {
                answer(req, outcome, 0, () -> answer.accept(req.client));
            }
        }

        @Override
        public void wakeAfter(long token, long delayUs) {
            actions.add(() -> after(delayUs, () -> gather(null, now -> module.woken(now, token))));
        }

        @Override
        public void watchList() {
            actions.add(() -> director.watch());
        }

        @Override
        public void probe(int workerId) {
            actions.add(() -> Core.this.probe(workerId));
        }

        @Override
        public void tellSilent(int workerId, int requestClass) {
            // Nodes have no way to talk to each other here; the settings do not allow it.
            invariant.holds(false, "peer message");
        }

        @Override
        public void closeIdle(int workerId) {
            actions.add(() -> {
                final InetSocketAddress addr = roster.address(workerId);
                if (addr != null) {
                    backends.closeIdle(addr);
                }
            });
        }
    }
}
