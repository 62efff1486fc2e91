package cresschute.node.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The open connections of clients: keeps their number within the limit, and closes those whose
 * client takes too long.
 *
 * <p>Owns the set of connections and, through autoRead of the listening channel, whether more are
 * accepted. At the limit one that waits for its client is closed; if there is none, further ones
 * wait in the backlog until a response makes one. Call from the event loop.
 */
final class ClientConnectionRegistry {

    /**
     * How long a connection may take for its first whole request, ms. Clients of which a connection
     * is worth keeping send as soon as they are connected; the others are closed within 3 s.
     */
    private static final long FIRST_REQUEST_MS = 2_000;

    /** How long a connection that has brought a request may be idle, ms. */
    private static final long IDLE_MS = 300_000;

    /** How long such a connection may take for the rest of a request, or to read a response, ms. */
    private static final long REQUEST_OR_RESPONSE_MS = 2_500;

    /** How long any may take while connections are closed after their responses, ms. */
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

    /** No connections; {@code maxConnections} may be open at a time. */
    ClientConnectionRegistry(EventLoop loop, ClientListener listener, int maxConnections) {
        this.loop = loop;
        this.listener = listener;
        this.maxConnections = maxConnections;
    }

    /** Connections that are open. */
    int size() {
        return connections.size();
    }

    // ---- The limit ----

    /** A connection was accepted. */
    void opened(ClientConnection connection) {
        connections.add(connection);
        if (listener.isStoppedListening()) {
            // Accepted as the listener was closed: what it has sent is served, but not waited for.
            loop.execute(connection::closeIfIdle);
        }
        if (connections.size() >= maxConnections && !evictOne(connection)) {
            serverChannel().config().setAutoRead(false);
        }
    }

    /** A connection is closed. */
    void closed(ClientConnection connection) {
        connections.remove(connection);
        if (connections.size() < maxConnections
                && serverChannel().isOpen()
                && !listener.isStoppedListening()) {
            serverChannel().config().setAutoRead(true);
        }
    }

    /** A response is written: its connection may be the first that can be closed. */
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
     * Closes one connection whose client is to act, those that brought no request first, then the
     * one that has waited longest. What has arrived is read before: a request may lie unread. Not
     * to be called while a client's connection is being read.
     *
     * @param newest never closed, as its client is about to send; or null
     * @return whether there was one
     */
    private boolean evictOne(ClientConnection newest) {
        final List<ClientConnection> candidates =
                connections.stream()
                        .filter(other -> other != newest && other.isEvictable())
                        .sorted(WITHOUT_REQUEST_THEN_LONGEST_WAITING)
                        .toList();
        for (final ClientConnection candidate : candidates) {
            candidate.readNow();
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

    /** Closes the connections that are idle once what has arrived on them is read. */
    void closeIdle() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Closes connections whose client takes too long; called a few times a second. */
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
            connection.close();
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
