/**
 * Experiments on loopback: stand-ins for workers, clients and discovery, the faults that they
 * inject, what is observed, and the checker of the protocol's rules.
 *
 * <p>{@link cresschute.testbed.RuleChecker} and {@link cresschute.testbed.RequestOutcomes} are
 * pure. Each stand-in owns its sockets and threads and is closed by whoever made it. It may use
 * every package but {@code console}; only the command line and tests use it.
 */
package cresschute.testbed;
