package cresschute.node;

import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

/**
 * Queues the events of one pass of the event loop and runs the turn that follows: reports all
 * events to the dispatcher in order and with one clock reading, then runs the actions that the
 * dispatcher asked for in order. A failure of one of them, errors included, does not keep the
 * others from running. Owns the pending events and actions. Lives as long as the node; call from
 * the event loop.
 */
final class DispatcherTurn {

    private static final Logger LOG = System.getLogger("cresschute.requests");

    private final Executor loop;
    private final Clock clock;
    private final Invariant invariant;
    private final LoopMonitor monitor;
    private final List<Runnable> actions = new ArrayList<>();
    private List<Event> events = new ArrayList<>();
    private boolean scheduled;

    /**
     * A pending event.
     *
     * @param request the request that the event belongs to, or null
     * @param report reports the event to the dispatcher, at the turn's clock reading in
     *     microseconds
     */
    private record Event(ClientRequest request, LongConsumer report) {

        void failed() {
            if (request != null) {
                request.dispatcherFailed();
            }
        }

        void reported() {
            if (request != null) {
                request.eventReported();
            }
        }
    }

    /**
     * Creates a turn without events.
     *
     * @param loop runs the turns
     * @param clock read once for each turn
     * @param invariant counts exceptions of the dispatcher and of actions
     * @param monitor told how long turns take
     */
    DispatcherTurn(Executor loop, Clock clock, Invariant invariant, LoopMonitor monitor) {
        this.monitor = monitor;
        this.loop = loop;
        this.clock = clock;
        this.invariant = invariant;
    }

    /**
     * Queues an event that belongs to no request.
     *
     * @param report reports it to the dispatcher, given the time in microseconds
     */
    void enqueue(LongConsumer report) {
        add(new Event(null, report));
    }

    /**
     * Queues an event of a request, which is kept until the dispatcher has received the event.
     *
     * @param request the request
     * @param report reports the event to the dispatcher, given the time in microseconds
     */
    void enqueue(ClientRequest request, LongConsumer report) {
        request.eventQueued();
        add(new Event(request, report));
    }

    private void add(Event event) {
        events.add(event);
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::run);
        }
    }

    /**
     * Defers an action that the dispatcher asked for until all events of the turn are reported.
     *
     * @param action the action
     */
    void defer(Runnable action) {
        actions.add(action);
    }

    private void run() {
        final long startedNs = System.nanoTime();
        scheduled = false;
        final List<Event> due = events;
        events = new ArrayList<>();
        report(due);
        runActions();
        due.forEach(Event::reported);
        monitor.spent(LoopMonitor.Activity.DISPATCHER_TURNS, System.nanoTime() - startedNs);
    }

    private void report(List<Event> due) {
        final long nowUs = clock.nowUs();
        for (final Event event : due) {
            try {
                event.report().accept(nowUs);
            } catch (RuntimeException | Error e) {
                LogEvent.of(
                                "module_failed",
                                "the dispatcher failed on an event; failing the request of the"
                                        + " event, if any")
                        .withCause(e)
                        .log(LOG, Level.ERROR);
                event.failed();
                invariant.check(false, "module failed");
            }
        }
    }

    private void runActions() {
        final List<Runnable> due = List.copyOf(actions);
        actions.clear();
        for (final Runnable action : due) {
            try {
                action.run();
            } catch (RuntimeException | Error e) {
                LogEvent.of(
                                "action_failed",
                                "an action of the dispatcher failed; continuing with the next"
                                        + " action")
                        .withCause(e)
                        .log(LOG, Level.ERROR);
                invariant.check(false, "action failed");
            }
        }
    }
}
