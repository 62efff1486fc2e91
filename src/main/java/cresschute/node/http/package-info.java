/**
 * HTTP/1.1 of the node: the connections of clients, the connections to workers, and the calls for
 * the endpoint list.
 *
 * <p>{@code ClientListener} accepts clients, a {@code ClientConnection} reads their requests and
 * writes the responses in order. {@code WorkerConnectionPool} holds the connections to workers, on
 * which an {@code HttpAttempt} sends a request and reads its result. {@code DiscoveryClient} calls
 * the discovery service. Long bodies pass through as streams of pieces.
 *
 * <p>Runs on the node's event loop. Implements interfaces of {@code cresschute.node}, where {@link
 * cresschute.node.NodeServer} alone creates the parts of this package.
 */
package cresschute.node.http;
