package cresschute.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.control.ClassPlacement;
import cresschute.control.ControlRequest;
import cresschute.control.Drain;
import cresschute.control.DrainOperation;
import cresschute.control.DrainRegistry;
import cresschute.control.DrainSnapshot;
import cresschute.control.EventRing;
import cresschute.control.FleetView;
import cresschute.control.ListedWorker;
import cresschute.control.OperationOutcome;
import cresschute.control.OperationResult;
import cresschute.control.VersionedTable;
import cresschute.control.files.NotDurableException;
import cresschute.control.files.SnapshotListener;
import cresschute.control.files.StateFolder;
import cresschute.control.socket.ControlHandler;
import cresschute.control.socket.ControlServer;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.health.ClassHealthSnapshot;
import cresschute.health.ConditionChange;
import cresschute.health.HealthThresholds;
import cresschute.health.HealthTracker;
import cresschute.health.LatencyObjective;
import cresschute.health.LatencyPercentiles;
import cresschute.health.RequestResult;
import cresschute.health.TrackedAttempt;
import cresschute.health.WorkerCondition;
import cresschute.health.WorkerHealthSnapshot;
import cresschute.health.WorkerListing;
import cresschute.logs.LogEvent;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The operator's place in a node: lays drains over the list, keeps them, notes who is well, and
 * shows all of it to consoles. It chooses no worker and answers no request. All of it is on the
 * loop, save {@link #open} and {@link #close}, which wait for files. A node that names neither a
 * control socket nor a state folder has none.
 */
final class ControlService implements RequestListener, ControlHandler {

    /** How often conditions are looked at and consoles are told, ms. */
    private static final long LOOK_MS = 250;

    /** Figures of an unchanged worker are drawn anew at every so many looks. */
    private static final int LOOKS_A_FIGURE = 4;

    private static final long US_A_MS = 1_000;
    private static final Logger LOG = System.getLogger("cresschute.control");

    private final NodeConfig config;
    private final EventLoop loop;
    private final Clock clock;
    private final DrainRegistry drains = new DrainRegistry();
    private final HealthTracker health;
    private final VersionedTable board = new VersionedTable();
    private final EventRing events = new EventRing();
    private final String boot = UUID.randomUUID().toString();
    private final Set<Integer> changed = new HashSet<>();
    private final Map<String, WorkerState> listedBefore = new HashMap<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private RequestLifecycle core;
    private StateFolder state;
    private ControlServer server;
    private long generation;
    private long keptUpTo;
    private IOException keepFailed;
    private int looks;

    /** Workers that have a row. */
    private Set<Integer> shown = Set.of();

    private boolean stopping;

    /** An answer that waits until a snapshot is kept. */
    private record Waiting(long generation, Runnable answer) {}

    ControlService(NodeConfig config, EventLoop loop, Clock clock) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        final List<LatencyObjective> objectives = new ArrayList<>();
        for (final RequestClass each : config.settings().classes()) {
            objectives.add(
                    new LatencyObjective(
                            each.priorityWeight(),
                            each.latencyObjectiveUs(),
                            each.latencyObjectiveStretch()));
        }
        health =
                new HealthTracker(
                        HealthThresholds.defaults(
                                config.settings().progressUs(),
                                config.settings().slowStart().warmUpDurationUs()),
                        objectives);
    }

    // ---- Start and stop ----

    /**
     * Takes up the drains that were kept, before the first list is told. Reads files, so not on the
     * loop.
     */
    void open(RequestLifecycle watched) throws IOException {
        core = watched;
        if (config.stateFolder() != null) {
            state = StateFolder.open(Path.of(config.stateFolder()));
            final DrainSnapshot kept = state.load();
            generation = kept.generation();
            keptUpTo = generation;
            drains.restore(kept.drains(), kept.completed());
            LogEvent.of(
                            "drains_restored",
                            "drains taken up from "
                                    + config.stateFolder()
                                    + ": "
                                    + kept.drains().size())
                    .with("count", kept.drains().size())
                    .log(LOG, Level.INFO);
        }
        if (config.controlSocket() != null) {
            server = new ControlServer(loop, Path.of(config.controlSocket()), this);
        }
    }

    /** Lets consoles connect and begins to look. Blocks, so not on the loop. */
    void listen() throws IOException {
        if (server != null) {
            server.listen();
        }
        loop.scheduleWithFixedDelay(this::tick, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** The node stops: consoles are told. On the loop. */
    void stopping() {
        stopping = true;
        note(
                "node_stopping",
                null,
                "the node is stopping; " + core.unanswered() + " reqs are owed an answer");
    }

    /** Ends the sessions. On the loop. */
    void closeSocket() {
        if (server != null) {
            server.close();
        }
    }

    /** Lets go of the state folder once all is written. Blocks, so not on the loop. */
    void close() {
        if (state != null) {
            state.close();
        }
    }

    // ---- Operations ----

    @Override
    public void execute(DrainOperation operation, Consumer<JsonObject> answer) {
        expire();
        // One that was carried out before is only answered again: nothing is told or kept a second
        // time.
        final boolean again = drains.isCompleted(operation.id());
        final OperationOutcome outcome = drains.apply(operation, site(), clock.nowUs());
        if (outcome.result() == OperationResult.APPLIED && !again) {
            note(
                    operation.isDrain() ? "drained" : "undrained",
                    operation.worker(),
                    operation.worker()
                            + (operation.isDrain() ? " drained" : " no longer drained")
                            + " by "
                            + operation.operator()
                            + (operation.reason().isEmpty() ? "" : ": " + operation.reason()));
            overlayChanged(List.of(operation.worker()));
            keep();
        }
        // Confirmed only when kept: also the second time, for the first may still be on its way to
        // the disk.
        afterKept(() -> answer.accept(answer(operation, outcome)));
    }

    private JsonObject answer(DrainOperation operation, OperationOutcome outcome) {
        final JsonObject json = new JsonObject();
        json.addProperty("ok", true);
        json.addProperty("outcome", outcome.result().wireName());
        json.addProperty("why", outcome.reason());
        json.addProperty("worker", operation.worker());
        final int number = core.registry().number(operation.worker());
        json.addProperty("in_flight", number < 0 ? 0 : health.inFlight(number));
        if (state != null) {
            json.addProperty("kept", keepFailed == null);
            if (keepFailed != null) {
                json.addProperty(
                        "keep_error",
                        "in force, but a restart would forget it: " + keepFailed.getMessage());
            }
        }
        return json;
    }

    private FleetView site() {
        final List<ListedWorker> workers =
                core.registry().listed().stream()
                        .map(each -> new ListedWorker(core.registry().name(each.id()), each))
                        .toList();
        final List<ClassPlacement> classes = new ArrayList<>();
        for (int i = 0; i < config.classes().size(); i++) {
            classes.add(
                    new ClassPlacement(
                            config.classes().get(i),
                            config.settings().classes().get(i).placement()));
        }
        return new FleetView(workers, classes, core.boundCells());
    }

    private void overlayChanged(List<String> workers) {
        core.republish(workers);
        final long nowUs = clock.nowUs();
        for (final String worker : workers) {
            final int number = core.registry().number(worker);
            if (number >= 0) {
                heard(nowUs, core.registry().listed().get(number));
            }
        }
        lookAtConditions();
    }

    private void expire() {
        final List<String> ended = drains.expire(clock.nowUs());
        if (!ended.isEmpty()) {
            ended.forEach(each -> note("drain_over", each, "the drain of " + each + " is over"));
            overlayChanged(ended);
            keep();
        }
    }

    // ---- What is kept ----

    private void keep() {
        if (state == null) {
            return;
        }
        final long mine = ++generation;
        state.store(
                new DrainSnapshot(mine, drains.inForce(), drains.completed()),
                loop,
                new SnapshotListener() {
                    @Override
                    public void stored() {
                        finish(mine, null);
                    }

                    @Override
                    public void notDurable(NotDurableException failure) {
                        finish(mine, failure);
                    }
                });
    }

    private void finish(long finished, NotDurableException failed) {
        keptUpTo = finished;
        keepFailed = failed;
        if (failed != null) {
            LogEvent.of("snapshot_failed", "drains could not be kept: " + failed.getCause())
                    .with("detail", failed.getCause())
                    .log(LOG, Level.ERROR);
        }
        while (!waiting.isEmpty() && waiting.peekFirst().generation() <= keptUpTo) {
            waiting.pollFirst().answer().run();
        }
    }

    private void afterKept(Runnable answer) {
        if (state == null || keptUpTo >= generation) {
            answer.run();
        } else {
            waiting.addLast(new Waiting(generation, answer));
        }
    }

    // ---- What passes ----

    @Override
    public WorkerState effectiveState(String worker, WorkerState listed) {
        return drains.effectiveState(worker, listed);
    }

    @Override
    public void endpointListChanged(long nowUs, List<Worker> told) {
        for (final Worker each : told) {
            heard(nowUs, each);
            final String name = core.registry().name(each.id());
            final WorkerState before = listedBefore.put(name, each.state());
            if (before != null && before != each.state()) {
                note(
                        "listed",
                        name,
                        "the list says "
                                + name
                                + " is "
                                + switch (each.state()) {
                                    case READY -> "serving";
                                    case DRAINING -> "draining";
                                    case GONE -> "gone";
                                });
            }
        }
    }

    private void heard(long nowUs, Worker worker) {
        health.workerListed(
                nowUs,
                worker.id(),
                new WorkerListing(
                        worker.state(),
                        drains.drainOf(core.registry().name(worker.id())).isPresent(),
                        worker.startedAtUs()));
        changed.add(worker.id());
    }

    @Override
    public void requestTaken(long nowUs, int requestClass) {
        health.requestArrived(nowUs, requestClass);
    }

    @Override
    public void requestEnded(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {
        health.requestEnded(nowUs, requestClass, requestResult(answer), attempts, waitedUs, ranUs);
    }

    private static RequestResult requestResult(Answer answer) {
        return switch (answer) {
            case SERVED -> RequestResult.SERVED;
            case REJECTED -> RequestResult.REJECTED;
            case FAILED -> RequestResult.FAILED;
            case LEFT -> RequestResult.CLIENT_LEFT;
        };
    }

    @Override
    public AttemptObserver attemptStarted(long nowUs, int worker, int requestClass) {
        final TrackedAttempt attempt = health.attemptSent(nowUs, worker, requestClass);
        changed.add(worker);
        return new AttemptObserver() {
            @Override
            public void progressed(long atUs) {
                attempt.progressReported(atUs);
            }

            @Override
            public void ended(long atUs, cresschute.dispatch.Outcome outcome, LoadReport report) {
                attempt.ended(atUs, outcome, report);
                changed.add(worker);
            }

            @Override
            public long ranUs(long atUs) {
                return attempt.runTimeUs(atUs);
            }
        };
    }

    @Override
    public void loadReported(long nowUs, int worker, LoadReport report) {
        health.loadReported(nowUs, worker, report);
        changed.add(worker);
    }

    // ---- What is shown ----

    private void tick() {
        expire();
        lookAtConditions();
        if (server != null) {
            if (server.hasSubscribers()) {
                show(false);
            }
            server.publish(clock.nowUs());
        }
    }

    private void lookAtConditions() {
        for (final ConditionChange each : health.evaluate(clock.nowUs())) {
            changed.add(each.worker());
            if (isNews(each)) {
                note(
                        "condition",
                        core.registry().name(each.worker()),
                        core.registry().name(each.worker())
                                + " is "
                                + each.to().word()
                                + (each.reason().isEmpty() ? "" : ": " + each.reason()));
            }
        }
    }

    /**
     * What the list says is noted as it is heard, and a worker that fills up and empties is at
     * work.
     */
    private static boolean isNews(ConditionChange change) {
        return change.from().isPresent()
                && change.to() != WorkerCondition.REMOVED
                && change.to() != WorkerCondition.DRAINING
                && !(change.from().get().compareTo(WorkerCondition.OVERLOADED) <= 0
                        && change.to().compareTo(WorkerCondition.OVERLOADED) <= 0);
    }

    private void note(String kind, String worker, String text) {
        events.add(clock.nowUs(), kind, worker, text);
        final LogEvent event = LogEvent.of("happening", text).with("kind", kind);
        (worker == null ? event : event.with("worker", worker)).log(LOG, Level.INFO);
    }

    @Override
    public void refresh() {
        lookAtConditions();
        show(true);
    }

    private void show(boolean all) {
        final long nowUs = clock.nowUs();
        looks++;
        final Set<Integer> known = new HashSet<>(health.workers());
        for (final int worker : known) {
            if (all
                    || changed.contains(worker)
                    || worker % LOOKS_A_FIGURE == looks % LOOKS_A_FIGURE) {
                board.put("w/" + core.registry().name(worker), row(nowUs, worker));
            }
        }
        changed.clear();
        // Guards against rows that stay for good: a worker that is forgotten has no change of its
        // own.
        shown.stream()
                .filter(worker -> !known.contains(worker))
                .forEach(worker -> board.remove("w/" + core.registry().name(worker)));
        shown = known;
        for (int i = 0; i < config.classes().size(); i++) {
            board.put("c/" + config.classes().get(i), classRow(nowUs, i));
        }
        board.put("node", nodeRow(nowUs));
    }

    private String row(long nowUs, int worker) {
        final WorkerHealthSnapshot view = health.worker(nowUs, worker).orElseThrow();
        final Worker listed = core.registry().listed().get(worker);
        final JsonObject row = new JsonObject();
        row.addProperty("id", core.registry().name(worker));
        row.addProperty("state", view.condition().word());
        row.addProperty("why", view.reason());
        row.addProperty("since_ms", view.sinceUs() / US_A_MS);
        row.addProperty("address", NetUtil.toSocketAddressString(core.registry().address(worker)));
        row.addProperty("kind", core.registry().kind(listed.kind()));
        row.addProperty("cell", listed.cell());
        row.addProperty(
                "listed",
                listed.state() == WorkerState.READY ? "serving" : listed.state().wireName());
        final Drain drain = drains.drainOf(core.registry().name(worker)).orElse(null);
        if (drain != null) {
            final JsonObject shown = new JsonObject();
            shown.addProperty("who", drain.operator());
            shown.addProperty("reason", drain.reason());
            shown.addProperty("since_ms", drain.startedAtUs() / US_A_MS);
            if (drain.endsAtUs() != DrainRegistry.NO_END_US) {
                shown.addProperty("until_ms", drain.endsAtUs() / US_A_MS);
            }
            row.add("drain", shown);
        }
        row.addProperty("in_flight", view.inFlight());
        final JsonObject byClass = new JsonObject();
        for (int i = 0; i < view.inFlightByClass().length; i++) {
            if (view.inFlightByClass()[i] > 0) {
                byClass.addProperty(config.classes().get(i), view.inFlightByClass()[i]);
            }
        }
        row.add("in_flight_by_class", byClass);
        row.addProperty("rate", Math.round(view.servedPerS() * 100) / 100.0);
        row.addProperty("failed", view.failed());
        times(row, view.lastMinute(), view.lastTenMinutes());
        final JsonArray sparks = new JsonArray();
        for (final int spark : view.servedPerSlice()) {
            sparks.add(spark);
        }
        row.add("sparks", sparks);
        row.addProperty("queue", view.load().queued());
        row.addProperty("free", view.load().freeSlots());
        row.addProperty("report_ms", view.load().receivedUs() / US_A_MS);
        return row.toString();
    }

    private static void times(
            JsonObject row, LatencyPercentiles minute, LatencyPercentiles tenMinutes) {
        row.addProperty("p50_ms", minute.p50Ms());
        row.addProperty("p99_ms", minute.p99Ms());
        row.addProperty("p50_ms_10m", tenMinutes.p50Ms());
        row.addProperty("p99_ms_10m", tenMinutes.p99Ms());
    }

    private String classRow(long nowUs, int number) {
        final ClassHealthSnapshot view = health.requestClass(nowUs, number);
        final JsonObject row = new JsonObject();
        row.addProperty("id", config.classes().get(number));
        row.addProperty("asked", view.arrived());
        final int answered = view.served() + view.rejected() + view.failed();
        row.addProperty(
                "admitted",
                answered == 0
                        ? -1
                        : Math.min(1, Math.round(view.admitted() * 1000.0 / answered) / 1000.0));
        row.addProperty("served", view.served());
        row.addProperty("refused", view.rejected());
        row.addProperty("failed", view.failed());
        row.addProperty("in_time", view.withinObjective());
        row.addProperty("in_flight", view.inFlight());
        times(row, view.lastMinute(), view.lastTenMinutes());
        return row.toString();
    }

    private String nodeRow(long nowUs) {
        final JsonObject row = new JsonObject();
        row.addProperty("name", config.name());
        row.addProperty("list_version", core.listVersion());
        row.addProperty(
                "list_ms", config.discovery() == null ? 0 : core.listUpdatedAtUs() / US_A_MS);
        row.addProperty("fixed_list", config.discovery() == null);
        row.addProperty("open", core.unanswered());
        final OptionalDouble kept = health.weightedServedFraction(nowUs);
        row.addProperty(
                "worth_kept", kept.isEmpty() ? -1 : Math.round(kept.getAsDouble() * 1000) / 1000.0);
        row.addProperty("stopping", stopping);
        row.addProperty("consoles", server == null ? 0 : server.sessions());
        row.addProperty("broken", core.invariant().total());
        return row.toString();
    }

    @Override
    public String incarnation() {
        return boot;
    }

    @Override
    public VersionedTable table() {
        return board;
    }

    @Override
    public EventRing events() {
        return events;
    }

    @Override
    public void audit(long session, ControlRequest request) {
        final LogEvent event =
                LogEvent.of(
                                "console_asked",
                                "console "
                                        + session
                                        + " asks: "
                                        + request.command().wireName()
                                        + (request.operation() == null
                                                ? ""
                                                : " "
                                                        + request.operation().worker()
                                                        + " by "
                                                        + request.operation().operator()))
                        .with("session", session)
                        .with("what", request.command().wireName());
        if (request.operation() != null) {
            final DrainOperation asked = request.operation();
            event.with("worker", asked.worker())
                    .with("operation", asked.id())
                    .with("who", asked.operator())
                    .with("reason", asked.reason())
                    .with("forced", asked.isForced());
        }
        event.log(LOG, Level.INFO);
    }
}
