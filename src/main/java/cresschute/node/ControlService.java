package cresschute.node;

import cresschute.control.DrainOperation;
import cresschute.control.socket.ControlHandler;
import cresschute.control.socket.ControlServer;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.logs.RepeatedTask;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Creates, starts and stops the components that serve consoles: drains as an overlay on the
 * endpoint list ({@link DurableDrains}), the health of workers ({@link WorkerHealthMonitor}), the
 * rows and events that consoles show ({@link ConsoleTable}, {@link OperatorEventLog}) and the
 * handler of their requests ({@link ControlRequestHandler}). It neither selects workers nor answers
 * clients.
 *
 * <p>Owned state: its components, which live as long as the process; drains are stored if the
 * settings name a state folder. A node whose settings name neither a control socket nor a state
 * folder has no control service.
 *
 * <p>Lifecycle: {@link #open}, {@link #listen}, {@link #notifyStopping}, {@link #closeSocket},
 * {@link #close}, each called once. All methods are called on the event loop, except {@link #open},
 * {@link #listen} and {@link #close}, which block.
 */
final class ControlService implements RequestListener, DrainListener {

    /**
     * The interval at which conditions are evaluated, drains expire and consoles get changes,
     * milliseconds.
     */
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

    /** Creates the service without starting it. */
    ControlService(NodeConfig config, EventLoop loop, Clock clock) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.events = new OperatorEventLog(clock);
        this.drains = new DurableDrains(loop, this);
    }

    // ---- Start and stop ----

    /**
     * Restores the stored drains. Call before the first endpoint list. Blocks; never call it on the
     * event loop.
     *
     * @throws IOException if the state folder is in use or cannot be read
     */
    void open(RequestLifecycle requestLifecycle) throws IOException {
        lifecycle = requestLifecycle;
        final ControlContext node = new ControlContext(config, lifecycle, clock, events);
        health = new WorkerHealthMonitor(node, drains);
        table = new ConsoleTable(node, health, drains, this::consoleCount);
        handler = new ControlRequestHandler(node, drains, health, table);
        if (config.stateFolder() != null) {
            drains.open(Path.of(config.stateFolder()));
        }
        if (config.controlSocket() != null) {
            server = Optional.of(new ControlServer(loop, Path.of(config.controlSocket()), handler));
        }
    }

    /**
     * Accepts connections of consoles and starts the periodic update. Blocks; never call it on the
     * event loop.
     *
     * @throws IOException if the control socket cannot be listened on
     */
    void listen() throws IOException {
        if (server.isPresent()) {
            server.get().listen();
        }
        loop.scheduleWithFixedDelay(
                new RepeatedTask("consoles", this::update),
                UPDATE_INTERVAL_MS,
                UPDATE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Shows consoles that the node's shutdown has begun. Call on the event loop. */
    void notifyStopping() {
        table.markNodeStopping();
        events.record(
                OperatorEventKind.NODE_STOPPING,
                "the node is stopping; " + lifecycle.unanswered() + " requests are owed an answer");
    }

    /** Closes the control socket and its sessions. Call on the event loop. */
    void closeSocket() {
        server.ifPresent(ControlServer::close);
    }

    /**
     * Closes the state folder once all pending writes are done or time out. Blocks; never call it
     * on the event loop.
     */
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

    /** Passes the workers' new effective states to the dispatcher and the health monitor. */
    private void publishStates(List<String> workers) {
        lifecycle.republish(workers);
        health.drainsChanged(workers);
        health.updateConditions();
    }

    // ---- Events of the request lifecycle ----

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

    private int consoleCount() {
        return server.map(ControlServer::sessionCount).orElse(0);
    }

    /** The handler of console requests; null before {@link #open}. */
    ControlHandler handler() {
        return handler;
    }
}
