package cresschute.node.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Holds the open client connections, keeps their number within the limit, and closes those whose
 * client takes too long.
 *
 * <p>Owns the set of connections and the autoRead option of the listening channel, which determines
 * whether more connections are accepted. At the limit it closes a connection that waits for its
 * client. If there is none, new connections wait in the backlog until a response is written and its
 * connection can be closed. Call from the event loop.
 */
final class ClientConnectionRegistry {

    /**
     * How long a connection may take to deliver its first whole request, ms. Clients that use their
     * connection send as soon as they are connected; the connections of the others must be closed
     * within 3 s.
     */
    private static final long FIRST_REQUEST_MS = 2_000;

    /** How long a connection that has submitted a request may be idle, ms. */
    private static final long IDLE_MS = 300_000;

    /**
     * How long the client of such a connection may take to send the rest of a request, or to read a
     * response, ms.
     */
    private static final long REQUEST_OR_RESPONSE_MS = 2_500;

    /** How long any client may take while the node closes connections after their responses, ms. */
    private static final long CLOSING_MS = 2_000;

    private static final Comparator<ClientConnection> WITHOUT_REQUEST_THEN_LONGEST_WAITING =
            Comparator.comparing(ClientConnection::hasSubmittedRequest)
                    .thenComparing(
                            Comparator.comparingLong(ClientConnection::waitedForClientNs)
                                    .reversed());

    private final EventLoop loop;
    private final ClientListener listener;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    /** Creates an empty registry; at most {@code maxConnections} may be open at a time. */
    ClientConnectionRegistry(EventLoop loop, ClientListener listener, int maxConnections) {
        this.loop = loop;
        this.listener = listener;
        this.maxConnections = maxConnections;
    }

    /** The number of open connections. */
    int size() {
        return connections.size();
    }

    /** The numbers of the classes of the requests that are queued on these connections. */
    Set<Integer> queuedClasses() {
        final Set<Integer> numbers = new HashSet<>();
        connections.forEach(each -> each.addQueuedClassesTo(numbers));
        return numbers;
    }

    // ---- The limit ----

    /** Called when a connection was accepted. */
    void opened(ClientConnection connection) {
        connections.add(connection);
        if (listener.isStoppedListening()) {
            // Accepted while the listener was being closed: serve requests that have arrived, but
            // do not wait for further ones.
            loop.execute(connection::closeIfIdle);
        }
        if (connections.size() >= maxConnections && !evictOne(connection)) {
            serverChannel().config().setAutoRead(false);
        }
    }

    /** Called when a connection was closed. */
    void closed(ClientConnection connection) {
        connections.remove(connection);
        if (connections.size() < maxConnections
                && serverChannel().isOpen()
                && !listener.isStoppedListening()) {
            serverChannel().config().setAutoRead(true);
        }
    }

    /** Called when a response was written: its connection may be the first that can be evicted. */
    void responseWritten() {
        if (isFull()) {
            loop.execute(this::evictForNext);
        }
    }

    private void evictForNext() {
        if (isFull()) {
            evictOne(null);
        }
    }

    private boolean isFull() {
        return connections.size() >= maxConnections && !serverChannel().config().isAutoRead();
    }

    /**
     * Closes one connection that waits for its client: those without a submitted request first,
     * then the one that has waited longest. Before that it reads the bytes that have arrived, as
     * they may hold a request. Must not be called while a client's connection is being read.
     *
     * @param newest a connection that is not closed, as its client is about to send; or null
     * @return whether a connection was closed
     */
    private boolean evictOne(ClientConnection newest) {
        final List<ClientConnection> candidates =
                connections.stream()
                        .filter(other -> other != newest && other.isEvictable())
                        .sorted(WITHOUT_REQUEST_THEN_LONGEST_WAITING)
                        .toList();
        for (final ClientConnection candidate : candidates) {
            candidate.reads().readNow();
            if (candidate.isEvictable()) {
                candidate.close();
                return true;
            }
        }
        return false;
    }

    private Channel serverChannel() {
        return listener.serverChannel();
    }

    // ---- Closing ----

    /** Reads the bytes that have arrived on each connection, then closes those that are idle. */
    void closeIdle() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Closes the connections whose client takes too long. Called a few times a second. */
    void sweep() {
        List.copyOf(connections).forEach(this::closeIfTooSlow);
    }

    private void closeIfTooSlow(ClientConnection connection) {
        if (connection.isStreaming()) {
            return;
        }
        if (connection.isReceivingStreamedBody()
                && (!listener.isStoppedListening() || connection.hasSubmittedCurrent())) {
            connection.checkSenderRate();
            return;
        }
        if (connection.isWaitingForClient()
                && connection.waitedForClientNs()
                        > TimeUnit.MILLISECONDS.toNanos(maxWaitMs(connection))) {
            connection.endSlowRequest();
        }
    }

    private long maxWaitMs(ClientConnection connection) {
        if (listener.isClosing()) {
            return CLOSING_MS;
        }
        if (!connection.hasSubmittedRequest()) {
            return FIRST_REQUEST_MS;
        }
        return connection.isIdle() ? IDLE_MS : REQUEST_OR_RESPONSE_MS;
    }
}
