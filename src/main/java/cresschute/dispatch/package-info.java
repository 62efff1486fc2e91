/**
 * The decisions of one dispatcher: which requests are admitted, where their attempts go, when they
 * are retried, hedged or given up, and which workers are ejected.
 *
 * <p>Entry: the host calls {@link cresschute.dispatch.DispatcherEvents} on a {@link
 * cresschute.dispatch.Dispatcher}, which calls {@link cresschute.dispatch.DispatcherActions} back.
 * Begin reading there; each rule is a class that states its inputs, formula and reason.
 *
 * <p>State: the workers of the endpoint list and what is learned of them ({@link
 * cresschute.dispatch.WorkerIndex}), the pending requests, and the estimates of each rule. All of
 * it is in memory and lives as long as the dispatcher.
 *
 * <p>Threads: none of its own. All calls to one dispatcher come on one thread; the clock is an
 * argument of each event and chance comes from a seed, so the same events give the same actions.
 *
 * <p>Uses the JDK alone, without input or output. The host of a node, the simulator's adapter, the
 * settings and the test bed use it; no other package decides.
 */
package cresschute.dispatch;
