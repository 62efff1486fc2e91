/**
 * Operators' commands and the state they lead to: drains of workers, bans, the node's own drain,
 * and what consoles are shown.
 *
 * <p>Two interfaces use it. Consoles send {@link cresschute.control.ControlRequest}s over the
 * control socket; the platform's operators send {@link cresschute.control.ManagementCall}s to the
 * management listener. A node serves one of the two.
 *
 * <p>State, each with one owner on the node's loop:
 *
 * <ul>
 *   <li>{@link cresschute.control.DrainRegistry}: drains in force and completed operations. Stored
 *       as a {@link cresschute.control.DrainSnapshot}, which a start takes up.
 *   <li>{@link cresschute.control.OperatorState}: bans and the node's drain. Stored in a file that
 *       both processes of an upgrade share.
 *   <li>{@link cresschute.control.VersionedTable} and {@link cresschute.control.EventRing}: rows
 *       and events for consoles. Not stored; they begin anew with each start.
 * </ul>
 *
 * <p>Stored words are pinned by {@code @SerializedName} and protocol words by the parser and enums;
 * names in the code may differ from them.
 *
 * <p>Pure: no I/O and no threads, the clock is passed in. Files are in {@code control.files},
 * sockets in {@code control.socket}. It uses the types of {@code cresschute.dispatch} alone; {@code
 * cresschute.node} and {@code cresschute.console} use it.
 */
package cresschute.control;
