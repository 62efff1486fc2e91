/**
 * The two sockets at which operators reach a node: {@link cresschute.control.socket.ControlServer},
 * a Unix domain socket for consoles, and {@link cresschute.control.socket.ManagementServer}, a TCP
 * listener for the platform's operators.
 *
 * <p>A server owns its listening channel and its sessions, a session its connection and timers,
 * from accept to close; nothing is stored. Requests go to a {@link
 * cresschute.control.socket.ControlHandler} or {@link cresschute.control.socket.ManagementHandler},
 * which the node implements. All of it is on the node's loop, save what is marked as blocking.
 *
 * <p>It uses {@code cresschute.control}, {@code control.files} and {@code cresschute.logs}; {@code
 * cresschute.node} uses it.
 */
package cresschute.control.socket;
