/**
 * Files of the operators' state. A {@link cresschute.control.files.StateFolder} holds the drains of
 * one node, a {@link cresschute.control.files.SharedOperatorState} the bans and drain that the two
 * processes of an upgrade share.
 *
 * <p>Each owns its files, its lock and one thread, which reads and writes and does nothing else.
 * What it has to say goes to a listener on the owner's executor, the node's loop. A change that is
 * in force but could not be stored is reported as {@link
 * cresschute.control.files.NotDurableException}.
 *
 * <p>It uses {@code cresschute.control} and {@code cresschute.logs}; {@code cresschute.node} and
 * {@code control.socket} use it.
 */
package cresschute.control.files;
