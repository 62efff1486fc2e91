/**
 * Observes the health of workers and request classes, for operators: the condition of each worker
 * with its reason, rates and latencies.
 *
 * <p>State: {@link cresschute.health.HealthTracker} owns all of it, in memory alone. Thread: the
 * node's event loop. Pure: no I/O, no threads, and the clock is an argument of each call.
 *
 * <p>May use {@code cresschute.dispatch} (types of workers, outcomes and load reports). Used by
 * {@code cresschute.node} for console rows and events; nothing here decides about a request.
 */
package cresschute.health;
