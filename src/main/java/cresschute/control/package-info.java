/**
 * Operators' commands and the state they set (drains of workers, bans, the drain of the node), and
 * the rows and events that consoles show.
 *
 * <p>Two interfaces use this package. Consoles send {@link cresschute.control.ControlRequest}s over
 * the control socket; the platform's operators send {@link cresschute.control.ManagementCall}s to
 * the management listener. A node serves one of the two.
 *
 * <p>State, each with one owner on the node's event loop:
 *
 * <ul>
 *   <li>{@link cresschute.control.DrainRegistry}: drains in force and completed operations. Stored
 *       as a {@link cresschute.control.DrainSnapshot}, which is loaded at startup.
 *   <li>{@link cresschute.control.OperatorState}: bans and the node's drain. Stored in a file that
 *       the old and the new process of an upgrade share.
 *   <li>{@link cresschute.control.VersionedTable} and {@link cresschute.control.EventRing}: rows
 *       and events for consoles. Not stored; empty after each start.
 * </ul>
 *
 * <p>The names in stored files are fixed by {@code @SerializedName}, those in the protocol by the
 * parser and the enums; names in the code may differ from them.
 *
 * <p>Pure: no I/O and no threads; the clock is passed in. Files are in {@code control.files},
 * sockets in {@code control.socket}. Depends only on the types of {@code cresschute.dispatch}; used
 * by {@code cresschute.node} and {@code cresschute.console}.
 */
package cresschute.control;
