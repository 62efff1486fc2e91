/**
 * The simulator adapter. It hosts one dispatcher for each simulated instance and exchanges events
 * and actions with a simulator over standard input and output.
 *
 * <p>Entry: {@link cresschute.simulator.Main}. The adapter reads a batch of events, delivers each
 * event to the dispatcher of its instance, and writes one reply with all resulting actions.
 *
 * <p>State: the dispatchers of the instances and the worker catalogs received, until the input
 * ends. Only this package maps the names on the wire to the terms of {@link cresschute.dispatch}.
 *
 * <p>Threads: only the caller's, which blocks on the input.
 *
 * <p>Dependencies: only the dispatch package. The command line and the node use this package.
 */
package cresschute.simulator;
