/**
 * The node's HTTP/1.1 side: the listener for clients, the connections to workers, and the client of
 * the discovery service. It turns bytes into calls of {@link cresschute.node.RequestLifecycle} and
 * back, and decides nothing about where a request goes.
 *
 * <p>Three parts, which know nothing of each other:
 *
 * <ul>
 *   <li>clients: {@link cresschute.node.http.ClientListener} accepts, a {@link
 *       cresschute.node.http.ClientConnection} with its parts reads requests, pipelines them and
 *       writes the responses in order;
 *   <li>workers: {@link cresschute.node.http.WorkerConnectionPool} carries one {@link
 *       cresschute.node.http.HttpExchange} at a time on each connection, an attempt or a load
 *       query;
 *   <li>discovery: {@link cresschute.node.http.DiscoveryClient} watches the endpoint list.
 * </ul>
 *
 * <p>Streamed bodies run between the first two: a {@link cresschute.node.http.StreamedBody} buffers
 * within the budget, a {@link cresschute.node.http.BodyTransfer} writes it to one peer.
 *
 * <p>State: sockets, their buffers and timers, each owned by the class that its comment names. All
 * of it runs on the node's one event loop; nothing here blocks. Used by {@code NodeServer} alone;
 * may use {@code cresschute.node}, {@code cresschute.flow}, the settings' types and Netty.
 */
package cresschute.node.http;
