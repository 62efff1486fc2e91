/**
 * Files that store operators' state. A {@link cresschute.control.files.StateFolder} stores the
 * drains of one node's workers; a {@link cresschute.control.files.SharedOperatorState} stores the
 * bans and the drain of the node, which the old and the new process of an upgrade share.
 *
 * <p>Each owns its files, its lock and one thread, which only reads and writes the files. Results
 * are passed to a listener on the owner's executor, the node's event loop. A change that is in
 * force but could not be stored is reported as {@link
 * cresschute.control.files.NotDurableException}.
 *
 * <p>Depends on {@code cresschute.control} and {@code cresschute.logs}; used by {@code
 * cresschute.node} and {@code control.socket}.
 */
package cresschute.control.files;
