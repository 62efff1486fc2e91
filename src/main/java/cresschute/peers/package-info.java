/**
 * The gossip protocol by which the dispatchers of a site learn each other's attempts in flight, so
 * that most load queries to workers can be left out.
 *
 * <p>State: {@link cresschute.peers.LoadExchange} owns all of it, in memory alone. Thread: that of
 * its driver, which is the node's event loop. Pure: no I/O, no threads, and the clock is an
 * argument of each call; {@code cresschute.peers.socket} is the driver with a UDP socket.
 *
 * <p>Uses the JDK alone. Used by {@code cresschute.peers.socket}, {@code cresschute.node} and the
 * fleet model of {@code cresschute.testbed}.
 */
package cresschute.peers;
