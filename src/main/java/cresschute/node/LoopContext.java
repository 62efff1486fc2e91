package cresschute.node;

import cresschute.dispatch.DispatcherEvents;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * What the parts of the request life cycle have in common: the event loop that runs all of them,
 * its clock, and whom they notify. Lives as long as the node; call from the event loop.
 *
 * @param loop the event loop
 * @param clock the dispatcher's clock
 * @param invariant counts what must not happen
 * @param listener follows requests, attempts and the endpoint list
 * @param loads what is known of workers' load without a query
 * @param turn gathers the events for the dispatcher
 * @param dispatcher decides; is notified from within {@code turn} only
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
     * Runs a task later.
     *
     * @param delayUs after this many microseconds
     * @param task runs on the event loop
     * @return cancels it
     */
    Future<?> schedule(long delayUs, Runnable task) {
        return loop.schedule(task, delayUs, TimeUnit.MICROSECONDS);
    }
}
