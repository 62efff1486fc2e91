package cresschute.node;

import cresschute.dispatch.ClassChanges;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import cresschute.flow.MemoryAccount;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

/**
 * Connects the client listeners, the workers, discovery and the dispatcher, and answers each
 * request once. The events of one pass of the event loop are queued and reported to the dispatcher
 * in one turn; then the dispatcher's actions run in order. This class makes no decisions itself. It
 * is the entry point for the client listeners and the discovery client; its parts own the state:
 * {@link OpenRequests}, {@link AttemptController}, {@link EndpointListPublisher}, {@link
 * LoadQueries}, {@link ShutdownResponder} and {@link DispatcherTurn}. Lives as long as the node;
 * call from the event loop.
 */
public final class RequestLifecycle {

    /**
     * Time by which the dispatcher's deadline is before the end of the client's wait, microseconds:
     * allows for the transmission of the answer, and of the request before its last byte was read.
     */
    static final long ANSWER_MARGIN_US = 15_000;

    /**
     * The node fails a request that is still unanswered this long after its due time, microseconds.
     */
    static final long OVERDUE_US = 10_000;

    /**
     * Maximum pause in reading a client for an attempt to begin, microseconds. The client may have
     * closed its connection as soon as the pause began, and the node detects the close only when it
     * resumes reading. Including the time from this check to the first byte, which is one call of
     * the loop, an attempt begins less than 100 ms after an undetected close.
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
    private final InitialEndpointList initialList;
    private final boolean initialListIsPushed;
    private final LoadQueries loadQueries;
    private final ShutdownResponder shutdownResponder;
    private WorkerClient workers;
    private Discovery discovery;

    /**
     * Creates a life cycle without a listener.
     *
     * @param config the configuration of the node
     * @param loop the event loop
     * @param clock the dispatcher's clock
     * @param faults logs faults of peers
     * @param dispatcher creates the dispatcher, given the actions that it may call
     */
    public RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this(config, loop, clock, faults, RequestListener.NONE, dispatcher);
    }

    /** Creates a life cycle with a listener that may apply drains to the endpoint list. */
    RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            RequestListener listener,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this(
                config,
                loop,
                clock,
                faults,
                listener,
                LoadTracker.NONE,
                new RequestIds(new MemoryAccount(Long.MAX_VALUE)),
                new LoopMonitor(),
                dispatcher);
    }

    /**
     * Creates a life cycle with a listener, a load tracker, which answers the load queries that it
     * can, the ids of requests that must not be sent again, and a monitor of its turns.
     */
    RequestLifecycle(
            NodeConfig config,
            ScheduledExecutorService loop,
            Clock clock,
            RateLimitedLog faults,
            RequestListener listener,
            LoadTracker loads,
            RequestIds endedIds,
            LoopMonitor monitor,
            Function<DispatcherActions, DispatcherEvents> dispatcher) {
        this.faults = faults;
        registry = new WorkerRegistry(config.zones(), config.kinds());
        settings = new ActiveSettings(config);
        final DispatcherTurn turn = new DispatcherTurn(loop, clock, invariant, monitor);
        context =
                new LoopContext(
                        loop,
                        clock,
                        invariant,
                        listener,
                        loads,
                        turn,
                        dispatcher.apply(new DeferredActions(turn)));
        requests = new OpenRequests(context, settings, endedIds);
        attempts = new AttemptController(context, settings, requests, registry, faults);
        endpoints = new EndpointListPublisher(context, registry, attempts);
        initialList = new InitialEndpointList(context, endpoints);
        initialListIsPushed = config.endpointListIsPushed();
        loadQueries = new LoadQueries(context, registry);
        shutdownResponder = new ShutdownResponder(context, settings, requests);
    }

    /**
     * Starts the life cycle: publishes the last known list, after which the dispatcher begins to
     * poll discovery. If the list is pushed, the last known list is published only with the first
     * answer of discovery, or some time later without it; see {@link #initialListPublished}.
     *
     * @param workerClient sends to the workers
     * @param newDiscovery watches the endpoint list
     * @param known the last known list
     */
    public void start(WorkerClient workerClient, Discovery newDiscovery, EndpointList known) {
        workers = workerClient;
        attempts.start(workerClient);
        loadQueries.start(workerClient);
        discovery = newDiscovery;
        if (initialListIsPushed) {
            initialList.hold(known);
            discovery.setPushed(true);
        } else {
            initialList.publish(known);
        }
    }

    /** Completed once the last known list is published. Any thread. */
    CompletableFuture<Void> initialListPublished() {
        return initialList.published();
    }

    /** Publishes the last known list without waiting any longer for discovery. */
    void publishInitialList() {
        initialList.release();
    }

    /**
     * Replaces the settings. Requests in flight keep their class; the dispatcher is notified before
     * any request that is submitted later.
     *
     * @param classes the classes by their numbers, retired ones included
     * @param next the dispatcher's settings
     */
    void applySettings(ClassTable classes, DispatchSettings next) {
        final ClassChanges changes = classes.changes();
        settings.replace(classes.names(), next, changes.retired());
        discovery.setPushed(!next.endpointListIsPolled());
        context.turn().enqueue(now -> context.dispatcher().settingsChanged(now, next, changes));
    }

    /** The numbers of the classes of all open requests, and of those with attempts in flight. */
    Set<Integer> classesInUse() {
        return requests.classesInUse();
    }

    // ---- Requests ----

    /**
     * Returns true if a request with this client-assigned id is unanswered or has attempts in
     * flight, or if it has ended and may have had an effect that must not be repeated.
     */
    public boolean isOpen(String requestId) {
        return requests.isOpen(requestId);
    }

    /**
     * Submits a request.
     *
     * @param content the content to send to workers
     * @param job its description for the dispatcher
     * @param waitUs how long its client waits, microseconds
     * @param client receives its one answer; at once if the process is ending
     * @return the request, for {@link #clientLeft}
     */
    public ClientRequest submit(
            RequestContent content, Job job, long waitUs, ResponseListener client) {
        return requests.submit(content, job, waitUs, client);
    }

    /**
     * Closes a request whose client has left; it gets no answer. An attempt that has a byte on the
     * wire continues.
     */
    public void clientLeft(ClientRequest request) {
        requests.clientLeft(request);
    }

    /** The number of unanswered requests. */
    public int unanswered() {
        return requests.unanswered();
    }

    /**
     * Retry-After of rejections that the node sends without the dispatcher, microseconds; 0 if the
     * settings allow none.
     */
    public long retryAfterUs() {
        return settings.retryAfterUs();
    }

    /** The longest deadline of any class, microseconds. */
    long longestDeadlineUs() {
        return settings.longestDeadlineUs();
    }

    /**
     * Answers all unanswered requests after this delay in microseconds, and later requests at once.
     */
    void answerAllAfter(long delayUs) {
        shutdownResponder.answerAllAfter(delayUs);
    }

    /**
     * The cells in which open keyed requests must be repeated, because their first attempt went
     * there.
     */
    Set<Integer> boundCells() {
        return requests.boundCells(registry);
    }

    // ---- Workers ----

    /** Publishes discovery's answer to a watch. */
    public void endpointListReceived(EndpointList list) {
        initialList.release();
        endpoints.publish(list.full() ? EndpointListForm.FULL : EndpointListForm.CHANGES, list);
    }

    /** Reports that a watch has failed; the current list stays in force. */
    public void discoveryFailed() {
        endpoints.reportFailed();
    }

    /** Version of the current list, or -1 if unknown. */
    public long listVersion() {
        return initialList.heldVersion(registry.version());
    }

    /** Returns true if requests can be served: a published list has contained a ready worker. */
    public boolean isReady() {
        return endpoints.hasHadReadyWorker();
    }

    /** Publishes these workers again because the overlay of their states has changed. */
    void republish(Collection<String> names) {
        endpoints.republish(names);
    }

    /** Reports to the dispatcher that the load tracker has new values for these workers. */
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

    /** Counts broken invariants. */
    public Invariant invariant() {
        return invariant;
    }

    /** Counts and logs faults of peers. */
    public RateLimitedLog faults() {
        return faults;
    }

    /** Defers the dispatcher's actions until all events of a turn are reported to it. */
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
            // The configuration names no other dispatchers, even if the settings allow messages to
            // them. Such a message may be lost on any network, so it is dropped.
            invariant.check(settings.allowsPeerMessages(), "peer message");
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
