package cresschute.node;

import cresschute.control.ManagementCall;
import cresschute.control.OperatorsState;
import cresschute.control.files.SharedOperatorState;
import cresschute.control.socket.ManagementServer;
import cresschute.dispatch.WorkerState;
import cresschute.logs.LogEvent;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The platform operators' place in a node: their calls, the bans of workers laid over the list, and
 * the node's own drain. What they ask is kept in the folder that both processes of an upgrade
 * share, and what the other process writes there is taken up within a look of the file. It chooses
 * no worker: a ban reaches the module as a worker that drains. All of it is on the loop, save
 * {@link #open} and {@link #close}.
 *
 * <p>What is in force is the last state read or written, with the calls of this process laid over
 * it that are not yet written: a look that comes between a call and its write undoes nothing.
 */
final class ManagementService implements RequestListener, ManagementServer.ManagementHandler {

    /**
     * A call whose change is not yet written is answered all the same by then, ms; it is in force.
     */
    static final long ANSWER_WITHIN_MS = 500;

    private static final Logger LOG = System.getLogger("cresschute.management");

    private final NodeConfig config;
    private final EventLoop loop;
    private final int maxCallers;
    private final List<ManagementCall> pending = new ArrayList<>();
    private RequestLifecycle core;
    private ReadinessSwitch readiness;
    private SharedOperatorState shared;
    private ManagementServer server;

    /** The last state read or written. */
    private OperatorsState kept = OperatorsState.NONE;

    /** That, with the calls that are not yet written laid over it. */
    private OperatorsState inForce = OperatorsState.NONE;

    /** Nobody can call yet; {@code maxCallers} is how many may at a time. */
    ManagementService(NodeConfig config, EventLoop loop, int maxCallers) {
        this.config = config;
        this.loop = loop;
        this.maxCallers = maxCallers;
    }

    /** Takes up what operators asked before this process began. Reads files, so not on the loop. */
    void open(RequestLifecycle watched, ReadinessSwitch readinessSwitch) throws IOException {
        core = watched;
        readiness = readinessSwitch;
        if (config.operators().shared() != null) {
            final SharedOperatorState.Opened opened =
                    SharedOperatorState.open(
                            Path.of(config.operators().shared()), loop, this::heard);
            shared = opened.shared();
            kept = opened.found();
            inForce = kept;
            if (!kept.banned().isEmpty() || kept.drained()) {
                LogEvent.of("operators_restored", "taken up from before: " + describe(kept))
                        .with("banned", String.join(",", kept.banned()))
                        .with("drained", kept.drained())
                        .log(LOG, Level.INFO);
            }
        }
    }

    /** Lets operators call; the future fails where the address cannot be had. */
    ChannelFuture listen() {
        server = new ManagementServer(loop, config.operators().management(), maxCallers, this);
        if (inForce.drained()) {
            readiness.drain();
        }
        return server.listen();
    }

    /** Where operators call, once it listens. */
    java.net.SocketAddress address() {
        return server.localAddress();
    }

    /** Ends the calls. On the loop. */
    void closeServer() {
        if (server != null) {
            server.close();
        }
    }

    /** Stops looking at the shared file. Blocks for a moment, so not on the loop. */
    void close() {
        if (shared != null) {
            shared.close();
        }
    }

    // ---- Calls ----

    @Override
    public void call(ManagementCall call, Consumer<String> answer) {
        switch (call.verb()) {
            case READY ->
                    answer.accept(
                            readiness.isReady()
                                    ? "200 ready"
                                    : "400 not ready: " + readiness.whyNotReady());
            case DISABLE_SERVER, ENABLE_SERVER -> {
                if (!isKnown(call.worker())) {
                    answer.accept("400 no list has named a worker " + call.worker());
                    return;
                }
                change(call, answer);
            }
            case DRAIN, RESUME -> change(call, answer);
            default -> answer.accept("400 " + call.verb().word() + " is not carried out here");
        }
    }

    private boolean isKnown(String worker) {
        return core.registry().number(worker) >= 0 || inForce.isBanned(worker);
    }

    private void change(ManagementCall call, Consumer<String> answer) {
        final OperatorsState next;
        try {
            next = inForce.after(call);
        } catch (IllegalStateException e) {
            answer.accept("400 " + e.getMessage());
            return;
        }
        pending.add(call);
        // In force at once: the grace of a ban counts from the call, before anything is on a disk.
        become(next);
        final String done = "200 " + said(call);
        if (shared == null) {
            pending.remove(call);
            answer.accept(done);
            return;
        }
        final boolean[] told = {false};
        final Runnable once =
                () -> {
                    if (!told[0]) {
                        told[0] = true;
                        answer.accept(done);
                    }
                };
        loop.schedule(once, ANSWER_WITHIN_MS, TimeUnit.MILLISECONDS);
        shared.change(
                state -> state.after(call),
                (written, failed) -> {
                    pending.remove(call);
                    if (failed != null) {
                        LogEvent.of(
                                        "operators_state_unkept",
                                        "in force, but an upgrade would not know it: "
                                                + said(call)
                                                + ": "
                                                + failed.getMessage())
                                .with("detail", String.valueOf(failed.getMessage()))
                                .log(LOG, Level.ERROR);
                    } else if (written.generation() > kept.generation()) {
                        kept = written;
                    }
                    become(overlaid());
                    once.run();
                });
    }

    private static String said(ManagementCall call) {
        return switch (call.verb()) {
            case DISABLE_SERVER -> call.worker() + " is out: nothing new goes to it";
            case ENABLE_SERVER -> call.worker() + " is in again";
            case DRAIN -> "draining: the node says it is not ready and lets its connections go";
            case RESUME -> "resumed: the node is ready again";
            case READY -> "ready";
        };
    }

    /** What another process wrote, or what this one wrote, as the file's look found it. */
    private void heard(OperatorsState found) {
        if (found.generation() <= kept.generation()) {
            return;
        }
        kept = found;
        final OperatorsState next = overlaid();
        if (!next.bannedChangedFrom(inForce).isEmpty() || next.drained() != inForce.drained()) {
            LogEvent.of(
                            "operators_heard",
                            "another process of this node changed: " + describe(next))
                    .with("banned", String.join(",", next.banned()))
                    .with("drained", next.drained())
                    .log(LOG, Level.INFO);
        }
        become(next);
    }

    private OperatorsState overlaid() {
        OperatorsState state = kept;
        for (final ManagementCall call : pending) {
            state = state.after(call);
        }
        return state;
    }

    private void become(OperatorsState next) {
        final OperatorsState before = inForce;
        inForce = next;
        final Set<String> changed = next.bannedChangedFrom(before);
        if (!changed.isEmpty()) {
            core.republish(changed);
        }
        if (next.drained() && !before.drained()) {
            LogEvent.of(
                            "node_draining",
                            "drained by an operator: not ready, connections are let go; "
                                    + core.unanswered()
                                    + " reqs are owed an answer")
                    .with("count", core.unanswered())
                    .log(LOG, Level.INFO);
            readiness.drain();
        } else if (!next.drained() && before.drained()) {
            LogEvent.of("node_resumed", "resumed by an operator: ready again").log(LOG, Level.INFO);
            readiness.resume();
        }
    }

    private static String describe(OperatorsState state) {
        return (state.banned().isEmpty()
                        ? "no worker is out"
                        : "out: " + String.join(", ", state.banned()))
                + (state.drained() ? "; the node is drained" : "");
    }

    // ---- What passes ----

    @Override
    public WorkerState effectiveState(String worker, WorkerState listed) {
        return listed == WorkerState.READY && inForce.isBanned(worker)
                ? WorkerState.DRAINING
                : listed;
    }

    /** Workers out now, for the log. */
    Set<String> banned() {
        return new TreeSet<>(inForce.banned());
    }

    /** Whether the node is drained now. */
    boolean isDrained() {
        return inForce.drained();
    }
}
