package cresschute.node;

import cresschute.dispatch.DispatcherEvents;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The objects that the parts of the request life cycle share: the event loop that runs all of them,
 * its clock, and the listeners that they notify. Lives as long as the node; call from the event
 * loop.
 *
 * @param loop the event loop
 * @param clock the dispatcher's clock
 * @param invariant counts broken invariants
 * @param listener observes requests, attempts and the endpoint list
 * @param loads tracks the workers' load without queries
 * @param turn queues the events for the dispatcher
 * @param dispatcher makes the decisions; receives events only through {@code turn}
 */
record LoopContext(
        ScheduledExecutorService loop,
        Clock clock,
        Invariant invariant,
        RequestListener listener,
        LoadTracker loads,
        DispatcherTurn turn,
        DispatcherEvents dispatcher) {

    /** The time now, microseconds. */
    long nowUs() {
        return clock.nowUs();
    }

    /**
     * Schedules a task.
     *
     * @param delayUs the delay, microseconds
     * @param task runs on the event loop
     * @return a future that cancels the task
     */
    Future<?> schedule(long delayUs, Runnable task) {
        return loop.schedule(task, delayUs, TimeUnit.MICROSECONDS);
    }
}
