/**
 * The decisions of one dispatcher: which requests are admitted, which worker gets an attempt, when
 * requests are retried, hedged or given up, and which workers are ejected.
 *
 * <p>Entry: the host calls {@link cresschute.dispatch.DispatcherEvents} on a {@link
 * cresschute.dispatch.Dispatcher}, which calls {@link cresschute.dispatch.DispatcherActions} back.
 * Start reading there. Each policy is a class whose comment gives its inputs, rule, reason and
 * guarantees.
 *
 * <p>State: the workers of the endpoint list with their estimates ({@link
 * cresschute.dispatch.WorkerIndex}), the pending requests, and the state of each policy. All state
 * is in memory and lives as long as the dispatcher.
 *
 * <p>Threads: the package starts none. The host makes all calls to a dispatcher on one thread. The
 * time is an argument of each event and random numbers come from a seed, so the same seed and
 * events produce the same actions.
 *
 * <p>Dependencies: only the JDK, without input or output. The host in a node, the simulator
 * adapter, the settings and the testbed use it. No other package makes dispatch decisions.
 */
package cresschute.dispatch;
