/**
 * Experiments on loopback: stand-ins for workers, clients and discovery, injected faults, recorded
 * observations, and the checker of the protocol rules.
 *
 * <p>{@link cresschute.testbed.RuleChecker} and {@link cresschute.testbed.RequestOutcomes} are
 * pure. Each stand-in owns its sockets and threads; the code that creates a stand-in closes it. The
 * package may use every package except {@code console}. Only the command line and tests use it.
 */
package cresschute.testbed;
