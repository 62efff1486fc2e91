/**
 * The two sockets to which operators connect: {@link cresschute.control.socket.ControlServer}, a
 * Unix domain socket for consoles, and {@link cresschute.control.socket.ManagementServer}, a TCP
 * listener for the platform's operators.
 *
 * <p>A server owns its listening channel and its sessions; a session owns its connection and timers
 * from accept to close. Nothing is stored. Requests go to a {@link
 * cresschute.control.socket.ControlHandler} or {@link cresschute.control.socket.ManagementHandler},
 * which the node implements. Everything runs on the node's event loop, except methods that are
 * documented as blocking.
 *
 * <p>Depends on {@code cresschute.control}, {@code control.files} and {@code cresschute.logs}; used
 * by {@code cresschute.node}.
 */
package cresschute.control.socket;
