/**
 * Drives a {@link cresschute.peers.LoadExchange} with a UDP socket and logs its events for
 * operators.
 *
 * <p>State: {@link cresschute.peers.socket.PeerSocket} owns the channel and its timer, {@link
 * cresschute.peers.socket.ExchangeLog} the counts that it logs. Thread: the event loop passed to
 * the socket, which is the node's.
 *
 * <p>May use {@code cresschute.peers}, {@code cresschute.logs} and Netty. Used by {@code
 * cresschute.node}.
 */
package cresschute.peers.socket;
