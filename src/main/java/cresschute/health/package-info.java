/**
 * Tracks the health of workers and request classes for operators: the condition of each worker with
 * its reason, rates and latencies.
 *
 * <p>State: {@link cresschute.health.HealthTracker} owns all of it, in memory only. Thread: the
 * node's event loop. Pure: no I/O and no threads; the clock is passed in with each call.
 *
 * <p>Depends on {@code cresschute.dispatch} (types of workers, outcomes and load reports). Used by
 * {@code cresschute.node} for console rows and events. Nothing in this package decides about a
 * request.
 */
package cresschute.health;
