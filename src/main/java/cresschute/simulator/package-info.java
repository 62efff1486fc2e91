/**
 * The simulator's wire: hosts one dispatcher for each simulated instance and carries events and
 * actions between them and a simulator at the other end of standard input and output.
 *
 * <p>Entry: {@link cresschute.simulator.Main}. A batch of events is read, each event goes to the
 * dispatcher of its instance, and one reply holds all actions that follow.
 *
 * <p>State: the dispatchers of the instances and the worker catalogs that were sent, until the
 * input ends. The words of the wire are mapped to the terms of {@link cresschute.dispatch} here and
 * nowhere else.
 *
 * <p>Threads: one, the caller's; it blocks on the input.
 *
 * <p>Uses the dispatch package alone. The command line and the node use it.
 */
package cresschute.simulator;
