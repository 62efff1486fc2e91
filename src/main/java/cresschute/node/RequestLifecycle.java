package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

/**
 * The life cycle of requests between the client fronts, the workers, discovery and the dispatcher.
 * What the loop's reads produce is gathered and reported to the dispatcher in one turn, and then
 * the dispatcher's actions are carried out in order; it decides nothing itself. This is the entry
 * that the fronts and the discovery client call; the state is owned by its parts: {@link
 * OpenRequests}, {@link AttemptController}, {@link EndpointListPublisher}, {@link LoadQueries},
 * {@link ShutdownResponder} and {@link DispatcherTurn}. Lives as long as the node; call from the
 * event loop.
 */
public final class RequestLifecycle {

    /**
     * Taken off a request's time, microseconds: for the way of the answer, and of the request
     * before its last byte was read.
     */
    static final long ANSWER_MARGIN_US = 15_000;

    /** Past its due time by this, microseconds, the node fails a request without an answer. */
    static final long OVERDUE_US = 10_000;

    /**
     * No attempt begins once reading its client has been paused for longer than this, microseconds:
     * the client may have closed its connection as soon as the pause began, and its close is seen
     * only where reading goes on. With the time from this check to the first byte, which is one
     * call of the loop, an attempt begins less than 100 ms after an unseen close.
     */
    static final long MAX_READ_PAUSE_US = 80_000;

    private final Invariant invariant = new Invariant();
    private final RateLimitedLog faults;
    private final WorkerRegistry registry;
    private final ActiveSettings settings;
    private final LoopContext context;
    private final OpenRequests requests;
    private final AttemptController attempts;
    private final EndpointListPublisher endpoints;
    private final LoadQueries loadQueries;
    private final ShutdownResponder shutdownResponder;
    private WorkerClient workers;
    private Discovery discovery;

    /**
     * A life cycle that nobody follows.
     *
     * @param config the configuration of the node
     * @param loop the event loop
     * @param clock the dispatcher's clock
     * @param faults logs faults of peers
     * @param dispatcher creates the dispatcher around its actions
     */
    public RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this(config, loop, clock, faults, RequestListener.NONE, dispatcher);
    }

    /** The same, followed by a listener that may lay drains over the endpoint list. */
    RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            RequestListener listener,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this(config, loop, clock, faults, listener, LoadTracker.NONE, dispatcher);
    }

    /** The same, with workers' load known to {@code loads} where it answers. */
    RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            RequestListener listener,
            LoadTracker loads,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this.faults = faults;
        registry = new WorkerRegistry(config.zones(), config.kinds());
        settings = new ActiveSettings(config);
        final DispatcherTurn turn = new DispatcherTurn(loop, clock, invariant);
        context =
                new LoopContext(
                        loop,
                        clock,
                        invariant,
                        listener,
                        loads,
                        turn,
                        dispatcher.apply(new DeferredActions(turn)));
        requests = new OpenRequests(context, settings);
        attempts = new AttemptController(context, settings, requests, registry, faults);
        endpoints = new EndpointListPublisher(context, registry, attempts);
        loadQueries = new LoadQueries(context, registry);
        shutdownResponder = new ShutdownResponder(context, settings, requests);
    }

    /**
     * Begins to work: publishes the list as it is known, by which the dispatcher begins to poll
     * discovery.
     *
     * @param workerClient sends to the workers
     * @param newDiscovery watches the endpoint list
     * @param known the list as it was last known
     */
    public void start(WorkerClient workerClient, Discovery newDiscovery, EndpointList known) {
        workers = workerClient;
        attempts.start(workerClient);
        loadQueries.start(workerClient);
        discovery = newDiscovery;
        endpoints.publish(EndpointListForm.CACHED, known);
    }

    /**
     * Replaces the settings. Requests in flight keep their class; the dispatcher is notified before
     * any request that is taken later.
     *
     * @param classNames the classes by their numbers, retired ones included
     * @param next the dispatcher's settings
     */
    void applySettings(List<String> classNames, DispatchSettings next) {
        settings.replace(classNames, next);
        context.turn().enqueue(now -> context.dispatcher().settingsChanged(now, next));
    }

    // ---- Requests ----

    /**
     * Whether a request under this id of its client's is owed an answer or has attempts in flight.
     */
    public boolean isOpen(String requestId) {
        return requests.isOpen(requestId);
    }

    /**
     * Takes a request.
     *
     * @param content what is sent to workers
     * @param job what the dispatcher knows of it
     * @param waitUs how long its client waits, microseconds
     * @param client receives its one answer, at once where the process ends
     * @return the request, for {@link #clientLeft}
     */
    public ClientRequest submit(
            RequestContent content, Job job, long waitUs, ResponseListener client) {
        return requests.submit(content, job, waitUs, client);
    }

    /**
     * The client of a request has left: it gets no answer. An attempt that has a byte on the wire
     * runs on.
     */
    public void clientLeft(ClientRequest request) {
        requests.clientLeft(request);
    }

    /** Requests that are owed an answer. */
    public int unanswered() {
        return requests.unanswered();
    }

    /** Retry-After of the node's own local replies, microseconds; 0 where none is allowed. */
    public long retryAfterUs() {
        return settings.retryAfterUs();
    }

    /** The longest deadline of any class, microseconds. */
    long longestDeadlineUs() {
        return settings.longestDeadlineUs();
    }

    /** Answers all that is owed after so many microseconds, and at once whatever is taken later. */
    void answerAllAfter(long delayUs) {
        shutdownResponder.answerAllAfter(delayUs);
    }

    /**
     * The cells in which open keyed requests must be repeated, as their first attempt went there.
     */
    Set<Integer> boundCells() {
        return requests.boundCells(registry);
    }

    // ---- Workers ----

    /** Discovery has answered a watch. */
    public void endpointListReceived(EndpointList list) {
        endpoints.publish(list.full() ? EndpointListForm.FULL : EndpointListForm.CHANGES, list);
    }

    /** A watch has failed; the list that is held stays in force. */
    public void discoveryFailed() {
        endpoints.reportFailed();
    }

    /** Version of the list that is held, or -1. */
    public long listVersion() {
        return registry.version();
    }

    /** Whether requests can be served: the dispatcher was notified of a worker that takes work. */
    public boolean isReady() {
        return endpoints.hasHadReadyWorker();
    }

    /** Publishes these workers again, as the overlay of their states has changed. */
    void republish(Collection<String> names) {
        endpoints.republish(names);
    }

    /** The load of these workers is known anew. */
    void loadsRefreshed(Collection<String> names) {
        loadQueries.refreshed(names);
    }

    /** The workers; read only. */
    WorkerRegistry registry() {
        return registry;
    }

    /** When discovery last answered, microseconds; 0 before that. */
    long listUpdatedAtUs() {
        return endpoints.updatedAtUs();
    }

    // ---- Faults ----

    /** Counts what must not happen. */
    public Invariant invariant() {
        return invariant;
    }

    /** Counts and logs faults of peers. */
    public RateLimitedLog faults() {
        return faults;
    }

    /** Keeps the dispatcher's actions until it was notified of all events of a turn. */
    private final class DeferredActions implements DispatcherActions {

        private final DispatcherTurn turn;

        private DeferredActions(DispatcherTurn turn) {
            this.turn = turn;
        }

        @Override
        public void send(int requestId, int workerId, long deadlineUs) {
            turn.defer(() -> attempts.send(requestId, workerId, deadlineUs));
        }

        @Override
        public void reject(int requestId, long retryAfterUs) {
            turn.defer(
                    () -> {
                        final ClientRequest request = requests.find(requestId);
                        if (request != null) {
                            requests.reject(request, retryAfterUs);
                        }
                    });
        }

        @Override
        public void fail(int requestId) {
            turn.defer(
                    () -> {
                        final ClientRequest request = requests.find(requestId);
                        if (request != null) {
                            requests.fail(request);
                        }
                    });
        }

        @Override
        public void startTimer(long token, long delayUs) {
            turn.defer(() -> context.schedule(delayUs, () -> timerFired(token)));
        }

        private void timerFired(long token) {
            turn.enqueue(now -> context.dispatcher().timerFired(now, token));
        }

        @Override
        public void pollEndpointList() {
            turn.defer(() -> discovery.watch());
        }

        @Override
        public void queryLoad(int workerId) {
            turn.defer(() -> loadQueries.query(workerId));
        }

        @Override
        public void reportUnresponsive(int workerId, int requestClass) {
            // The settings allow no messages between dispatchers here.
            invariant.check(false, "peer message");
        }

        @Override
        public void closeIdleConnections(int workerId) {
            turn.defer(() -> closeIdle(workerId));
        }

        private void closeIdle(int workerId) {
            final InetSocketAddress address = registry.address(workerId);
            if (address != null) {
                workers.closeIdle(address);
            }
        }
    }
}
