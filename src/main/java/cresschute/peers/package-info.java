/**
 * The gossip protocol by which the dispatchers of a site learn each other's attempts in flight,
 * which makes most load queries to workers unnecessary.
 *
 * <p>State: {@link cresschute.peers.LoadExchange} owns all of it, in memory only. Thread: all calls
 * are made on the driver's thread, which is the node's event loop. Pure: no I/O and no threads, and
 * each call takes the time as an argument; {@code cresschute.peers.socket} is the driver with a UDP
 * socket.
 *
 * <p>Uses only the JDK. Used by {@code cresschute.peers.socket}, {@code cresschute.node} and the
 * fleet model of {@code cresschute.testbed}.
 */
package cresschute.peers;
