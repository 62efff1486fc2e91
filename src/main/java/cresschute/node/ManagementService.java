package cresschute.node;

import cresschute.control.BanLimitReachedException;
import cresschute.control.ManagementCall;
import cresschute.control.OperatorState;
import cresschute.control.files.NotDurableException;
import cresschute.control.files.SharedOperatorState;
import cresschute.control.files.SharedStateListener;
import cresschute.control.socket.ManagementHandler;
import cresschute.control.socket.ManagementServer;
import cresschute.dispatch.WorkerState;
import cresschute.logs.LogEvent;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Executes the management calls of the platform's operators: bans of workers, as an overlay on the
 * endpoint list, and the drain of the node itself. It selects no worker; the dispatcher sees a
 * banned worker as draining.
 *
 * <p>Owned state: the {@link OperatorState} in force. It is the newest state read from or written
 * to the file that both processes of an upgrade share, with the unwritten calls of this process
 * applied on top, so that a poll of the file between a call and its write does not undo the call.
 * Without a shared folder it lives as long as the process.
 *
 * <p>A call takes effect in this order: in force, stored, answered. A call whose change is not
 * stored within {@value #MAX_ANSWER_DELAY_MS} ms is answered anyway. A change that could not be
 * stored is logged and gets the same answer as a stored one.
 *
 * <p>Lifecycle: {@link #open}, {@link #listen}, {@link #closeServer}, {@link #close}. All methods
 * are called on the event loop, except {@link #open}, {@link #listen} and {@link #close}, which may
 * block and are called on the threads that start and stop the node.
 */
final class ManagementService implements RequestListener, ManagementHandler, SharedStateListener {

    /** The longest time that an answer waits for its change to be stored, milliseconds. */
    static final long MAX_ANSWER_DELAY_MS = 500;

    private static final Logger LOG = System.getLogger("cresschute.management");

    private final NodeConfig config;
    private final EventLoop loop;
    private final int maxCallers;

    /** Calls that are in force but not yet stored, oldest first. */
    private final List<ManagementCall> unstoredCalls = new ArrayList<>();

    private RequestLifecycle lifecycle;
    private ReadinessSwitch readiness;
    private SharedOperatorState sharedState;
    private ManagementServer server;

    /** The newest state that was read or written. */
    private OperatorState stored = OperatorState.NONE;

    /** {@link #stored} with the calls of {@link #unstoredCalls} applied. */
    private OperatorState inForce = OperatorState.NONE;

    /**
     * Creates the service without listening.
     *
     * @param maxCallers the maximum number of concurrent connections
     */
    ManagementService(NodeConfig config, EventLoop loop, int maxCallers) {
        this.config = config;
        this.loop = loop;
        this.maxCallers = maxCallers;
    }

    // ---- Start and stop ----

    /**
     * Restores the state that an earlier process, or the other process of an upgrade, stored. Call
     * before the first endpoint list. Blocks; never call it on the event loop.
     *
     * @throws IOException if the shared folder cannot be created or read
     */
    void open(RequestLifecycle requestLifecycle, ReadinessSwitch readinessSwitch)
            throws IOException {
        lifecycle = requestLifecycle;
        readiness = readinessSwitch;
        if (config.operators().sharedFolder() == null) {
            return;
        }
        final SharedOperatorState.Opened opened =
                SharedOperatorState.open(Path.of(config.operators().sharedFolder()), loop, this);
        sharedState = opened.shared();
        stored = opened.found();
        inForce = stored;
        if (!stored.banned().isEmpty() || stored.drained()) {
            logState("operators_restored", "restored operator state: ", stored);
        }
    }

    /**
     * Accepts calls of operators, and makes the node not ready if the restored state says that it
     * is drained. Called on the thread that starts the node, after clients can connect.
     *
     * @return a future that fails if the node cannot listen on the address
     */
    ChannelFuture listen() {
        server =
                new ManagementServer(
                        loop, config.operators().managementAddress(), maxCallers, this);
        if (inForce.drained()) {
            readiness.drain();
        }
        return server.listen();
    }

    /** The address that operators call; valid after {@link #listen}. */
    SocketAddress address() {
        return server.localAddress();
    }

    /** Closes the listener and its connections. Call on the event loop. */
    void closeServer() {
        if (server != null) {
            server.close();
        }
    }

    /**
     * Stops polling the shared file, after a write in progress has finished. Blocks; never call it
     * on the event loop.
     */
    void close() {
        if (sharedState != null) {
            sharedState.close();
        }
    }

    // ---- Calls ----

    @Override
    public void call(ManagementCall call, Consumer<String> answer) {
        switch (call.command()) {
            case READY ->
                    answer.accept(
                            readiness.isReady()
                                    ? "200 ready"
                                    : "400 not ready: " + readiness.whyNotReady());
            case DISABLE_SERVER, ENABLE_SERVER -> {
                if (isKnown(call.worker())) {
                    change(call, answer);
                } else {
                    answer.accept("400 no list has named a worker " + call.worker());
                }
            }
            case DRAIN, RESUME -> change(call, answer);
            default -> answer.accept("400 " + call.command().word() + " is not carried out here");
        }
    }

    private boolean isKnown(String worker) {
        return lifecycle.registry().number(worker) >= 0 || inForce.isBanned(worker);
    }

    private void change(ManagementCall call, Consumer<String> answer) {
        final OperatorState next;
        try {
            next = inForce.apply(call);
        } catch (BanLimitReachedException e) {
            answer.accept("400 " + e.getMessage());
            return;
        }
        putInForce(next);
        final String confirmation = "200 " + confirmation(call);
        if (sharedState == null) {
            answer.accept(confirmation);
            return;
        }
        unstoredCalls.add(call);
        final PendingAnswer pending = new PendingAnswer(call, confirmation, answer);
        loop.schedule(pending::send, MAX_ANSWER_DELAY_MS, TimeUnit.MILLISECONDS);
        sharedState.change(state -> state.apply(call), pending);
    }

    /** The answer to one call. Sent once: when the change is stored, or after the maximum delay. */
    private final class PendingAnswer implements SharedStateListener.ChangeListener {

        private final ManagementCall call;
        private final String confirmation;
        private final Consumer<String> answer;
        private boolean sent;

        PendingAnswer(ManagementCall call, String confirmation, Consumer<String> answer) {
            this.call = call;
            this.confirmation = confirmation;
            this.answer = answer;
        }

        @Override
        public void stored(OperatorState written) {
            unstoredCalls.remove(call);
            if (written.generation() > stored.generation()) {
                stored = written;
            }
            putInForce(storedWithUnstoredCalls());
            send();
        }

        @Override
        public void notDurable(NotDurableException failure) {
            unstoredCalls.remove(call);
            LogEvent.of(
                            "operators_state_not_durable",
                            "in force, but not stored, so another process of this node does not see"
                                    + " it: "
                                    + ManagementService.confirmation(call)
                                    + ": "
                                    + failure.getMessage())
                    .with("detail", String.valueOf(failure.getMessage()))
                    .log(LOG, Level.ERROR);
            putInForce(storedWithUnstoredCalls());
            send();
        }

        void send() {
            if (!sent) {
                sent = true;
                answer.accept(confirmation);
            }
        }
    }

    private static String confirmation(ManagementCall call) {
        return switch (call.command()) {
            case DISABLE_SERVER -> call.worker() + " is out: nothing new goes to it";
            case ENABLE_SERVER -> call.worker() + " is in again";
            case DRAIN -> "draining: the node says it is not ready and lets its connections go";
            case RESUME -> "resumed: the node is ready again";
            case READY -> "ready";
        };
    }

    // ---- The state in force ----

    @Override
    public void stateChanged(OperatorState found) {
        if (found.generation() <= stored.generation()) {
            return;
        }
        stored = found;
        final OperatorState next = storedWithUnstoredCalls();
        if (!next.banDifference(inForce).isEmpty() || next.drained() != inForce.drained()) {
            logState(
                    "operators_state_changed",
                    "another process of this node changed the operator state: ",
                    next);
        }
        putInForce(next);
    }

    private OperatorState storedWithUnstoredCalls() {
        OperatorState state = stored;
        for (final ManagementCall call : unstoredCalls) {
            state = state.apply(call);
        }
        return state;
    }

    private void putInForce(OperatorState next) {
        final OperatorState before = inForce;
        inForce = next;
        final Set<String> changedWorkers = next.banDifference(before);
        if (!changedWorkers.isEmpty()) {
            lifecycle.republish(changedWorkers);
        }
        if (next.drained() && !before.drained()) {
            LogEvent.of(
                            "node_draining",
                            "drained by an operator: reporting not ready and closing client"
                                    + " connections; "
                                    + lifecycle.unanswered()
                                    + " requests are unanswered")
                    .with("count", lifecycle.unanswered())
                    .log(LOG, Level.INFO);
            readiness.drain();
        } else if (!next.drained() && before.drained()) {
            LogEvent.of("node_resumed", "resumed by an operator: ready again").log(LOG, Level.INFO);
            readiness.resume();
        }
    }

    private static void logState(String event, String prefix, OperatorState state) {
        final String text =
                (state.banned().isEmpty()
                                ? "no worker is banned"
                                : "banned workers: " + String.join(", ", state.banned()))
                        + (state.drained() ? "; the node is drained" : "");
        LogEvent.of(event, prefix + text)
                .with("banned", String.join(",", state.banned()))
                .with("drained", state.drained())
                .log(LOG, Level.INFO);
    }

    // ---- The overlay on the endpoint list ----

    @Override
    public WorkerState effectiveState(String worker, WorkerState listed) {
        return listed == WorkerState.READY && inForce.isBanned(worker)
                ? WorkerState.DRAINING
                : listed;
    }
}
