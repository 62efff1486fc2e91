/**
 * Drives a {@link cresschute.peers.LoadExchange} by a UDP socket and logs what operators should
 * know about it.
 *
 * <p>State: {@link cresschute.peers.socket.PeerSocket} owns the channel and its timer, {@link
 * cresschute.peers.socket.ExchangeLog} the counts that it logs. Thread: the event loop that the
 * socket is given, which is the node's.
 *
 * <p>May use {@code cresschute.peers}, {@code cresschute.logs} and Netty. Used by {@code
 * cresschute.node}.
 */
package cresschute.peers.socket;
