/**
 * The node: takes requests from client listeners, notifies the dispatcher, and carries out its
 * decisions. It makes no decisions itself and implements no network protocol.
 *
 * <p>{@link cresschute.node.NodeServer} creates, starts, reloads and stops the parts. {@link
 * cresschute.node.RequestLifecycle} is the entry point for client listeners and discovery; behind
 * it {@code OpenRequests} owns the requests, {@code AttemptController} their attempts in flight,
 * {@code EndpointListPublisher} the endpoint list, and {@code DispatcherTurn} the events and
 * actions of one turn of the event loop.
 *
 * <p>Owned state: open requests, attempts, timers, the worker registry, the settings in force and
 * counts of broken invariants. All of it is used on one event loop; methods that block or read
 * files say so. The interfaces {@link cresschute.node.ResponseListener}, {@link
 * cresschute.node.WorkerClient} and {@link cresschute.node.Discovery} are implemented in {@code
 * cresschute.node.http}, which may use this package; {@code cresschute.cli} and {@code
 * cresschute.testbed} may start nodes.
 */
package cresschute.node;
