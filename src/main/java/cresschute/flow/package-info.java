/**
 * Flow control of long bodies: a shared byte budget, buffers with credit and backpressure, and the
 * detection of slow peers.
 *
 * <p>State: {@link cresschute.flow.BufferBudget} owns the bytes in use, {@link
 * cresschute.flow.BodyBuffer} the pieces of one body, {@link cresschute.flow.TransferMonitor} the
 * progress of one peer. Thread: the node's event loop. Pure: no I/O, no threads, and the clock is
 * an argument; the pieces may be of any type.
 *
 * <p>Depends only on the JDK. Used by {@code cresschute.node.http}, which reads and writes the
 * bytes.
 */
package cresschute.flow;
