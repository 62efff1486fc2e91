/**
 * The node's HTTP/1.1 side: the listener for clients, the connections to workers, and the client of
 * the discovery service. It converts between bytes and calls of {@link
 * cresschute.node.RequestLifecycle}, and does not decide where a request goes.
 *
 * <p>Three parts that do not depend on each other:
 *
 * <ul>
 *   <li>clients: {@link cresschute.node.http.ClientListener} accepts connections; a {@link
 *       cresschute.node.http.ClientConnection} with its parts reads pipelined requests and writes
 *       the responses in order;
 *   <li>workers: {@link cresschute.node.http.WorkerConnectionPool} carries one {@link
 *       cresschute.node.http.HttpExchange} at a time on each connection, an attempt or a load
 *       query;
 *   <li>discovery: {@link cresschute.node.http.DiscoveryClient} watches the endpoint list.
 * </ul>
 *
 * <p>Streamed bodies pass between the first two: a {@link cresschute.node.http.StreamedBody}
 * buffers a body within the buffer budget, and a {@link cresschute.node.http.BodyTransfer} writes
 * it to one peer.
 *
 * <p>State: sockets, their buffers and timers; the comment of each class names what it owns.
 * Everything runs on the node's single event loop, and nothing here blocks. Only {@code NodeServer}
 * uses this package; it may use {@code cresschute.node}, {@code cresschute.flow}, the settings'
 * types and Netty.
 */
package cresschute.node.http;
