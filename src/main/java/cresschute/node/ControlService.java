package cresschute.node;

import cresschute.control.DrainOperation;
import cresschute.control.socket.ControlHandler;
import cresschute.control.socket.ControlServer;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Puts together what a node does for consoles, and starts and stops it: drains as an overlay on the
 * endpoint list ({@link DurableDrains}), the health of workers ({@link WorkerHealthMonitor}), the
 * rows and events that consoles show ({@link ConsoleTable}, {@link OperatorEventLog}) and their
 * requests ({@link ControlRequestHandler}). It selects no worker and answers no client.
 *
 * <p>Owned state: its parts, which live as long as the process; drains are stored if the settings
 * name a state folder. A node that names neither a control socket nor a state folder has no such
 * service.
 *
 * <p>Life: {@link #open}, {@link #listen}, {@link #stopping}, {@link #closeSocket}, {@link #close},
 * each once. All of it is on the loop, save {@link #open}, {@link #listen} and {@link #close},
 * which block.
 */
final class ControlService implements RequestListener, DrainListener {

    /** How often conditions are judged, drains expire and consoles get changes, ms. */
    private static final long UPDATE_INTERVAL_MS = 250;

    private final NodeConfig config;
    private final EventLoop loop;
    private final Clock clock;
    private final OperatorEventLog events;
    private final DurableDrains drains;
    private RequestLifecycle lifecycle;
    private WorkerHealthMonitor health;
    private ConsoleTable table;
    private ControlRequestHandler handler;
    private Optional<ControlServer> server = Optional.empty();

    /** Starts nothing yet. */
    ControlService(NodeConfig config, EventLoop loop, Clock clock) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.events = new OperatorEventLog(clock);
        this.drains = new DurableDrains(loop, this);
    }

    // ---- Start and stop ----

    /**
     * Takes up the stored drains, before the first endpoint list. Blocks, so not on the loop.
     *
     * @throws IOException if the state folder is in use or cannot be read
     */
    void open(RequestLifecycle requestLifecycle) throws IOException {
        lifecycle = requestLifecycle;
        final ControlContext node = new ControlContext(config, lifecycle, clock, events);
        health = new WorkerHealthMonitor(node, drains);
        table = new ConsoleTable(node, health, drains, this::consoles);
        handler = new ControlRequestHandler(node, drains, health, table);
        if (config.stateFolder() != null) {
            drains.open(Path.of(config.stateFolder()));
        }
        if (config.controlSocket() != null) {
            server = Optional.of(new ControlServer(loop, Path.of(config.controlSocket()), handler));
        }
    }

    /**
     * Lets consoles connect, and begins the periodic update. Blocks, so not on the loop.
     *
     * @throws IOException if the control socket cannot be listened on
     */
    void listen() throws IOException {
        if (server.isPresent()) {
            server.get().listen();
        }
        loop.scheduleWithFixedDelay(
                this::update, UPDATE_INTERVAL_MS, UPDATE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The node's shutdown has begun: consoles are shown it. On the loop. */
    void stopping() {
        table.nodeStopping();
        events.record(
                OperatorEventKind.NODE_STOPPING,
                "the node is stopping; " + lifecycle.unanswered() + " requests are owed an answer");
    }

    /** Closes the control socket and its sessions. On the loop. */
    void closeSocket() {
        server.ifPresent(ControlServer::close);
    }

    /** Closes the state folder once all is written. Blocks, so not on the loop. */
    void close() {
        drains.close();
    }

    private void update() {
        drains.expire(clock.nowUs());
        health.updateConditions();
        server.ifPresent(this::updateConsoles);
    }

    private void updateConsoles(ControlServer consoles) {
        if (consoles.hasSubscribers()) {
            table.refreshChanged();
        }
        consoles.publish(clock.nowUs());
    }

    // ---- Changes of drains ----

    @Override
    public void drainChanged(DrainOperation operation) {
        final String worker = operation.worker();
        if (operation.isDrain()) {
            events.record(
                    OperatorEventKind.DRAINED,
                    worker,
                    worker + " drained by " + operation.attribution());
        } else {
            events.record(
                    OperatorEventKind.UNDRAINED,
                    worker,
                    worker + " no longer drained by " + operation.attribution());
        }
        publishStates(List.of(worker));
    }

    @Override
    public void drainsExpired(List<String> workers) {
        workers.forEach(
                worker ->
                        events.record(
                                OperatorEventKind.DRAIN_ENDED,
                                worker,
                                "the drain of " + worker + " is over"));
        publishStates(workers);
    }

    /** Notifies the dispatcher and the health monitor of workers' new effective states. */
    private void publishStates(List<String> workers) {
        lifecycle.republish(workers);
        health.drainsChanged(workers);
        health.updateConditions();
    }

    // ---- What passes through the node ----

    @Override
    public WorkerState effectiveState(String worker, WorkerState listed) {
        return drains.effectiveState(worker, listed);
    }

    @Override
    public void endpointListChanged(long nowUs, List<Worker> workers) {
        health.endpointListChanged(nowUs, workers);
    }

    @Override
    public void requestSubmitted(long nowUs, int requestClass) {
        health.requestSubmitted(nowUs, requestClass);
    }

    @Override
    public void requestEnded(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {
        health.requestEnded(nowUs, requestClass, answer, attempts, waitedUs, ranUs);
    }

    @Override
    public AttemptObserver attemptStarted(long nowUs, int worker, int requestClass) {
        return health.attemptStarted(nowUs, worker, requestClass);
    }

    @Override
    public void loadReported(long nowUs, int worker, LoadReport report) {
        health.loadReported(nowUs, worker, report);
    }

    private int consoles() {
        return server.map(ControlServer::sessions).orElse(0);
    }

    /** Answers requests of consoles, once open. */
    ControlHandler handler() {
        return handler;
    }
}
