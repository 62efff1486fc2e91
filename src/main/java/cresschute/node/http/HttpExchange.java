package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request to a worker and its response.
 *
 * <p>Life cycle: created, begun on a {@link WorkerConnection} that carries no other exchange while
 * it lasts, written, over once its outcome is reported. What the connection receives after that is
 * discarded. It ends with {@link #responseCompleted}, {@link #connectionBroken} or {@link #cancel}.
 * Call from the event loop.
 */
abstract class HttpExchange {

    private WorkerConnection connection;
    private boolean begun;
    private boolean written;
    private boolean over;

    // ---- The request ----

    /**
     * The request: whole, or its head where {@link #bodyTransfer} writes the body. Called right
     * before it is written.
     *
     * @throws IllegalArgumentException if it cannot be encoded
     */
    abstract HttpRequest request();

    /** What writes a streamed body, or null where the request is whole. */
    BodyTransfer bodyTransfer() {
        return null;
    }

    /** Whether it is still wanted once a new connection for it is up; it is over if not. */
    boolean mayBegin() {
        return true;
    }

    /** Begins on this connection: its first byte is about to be written. */
    final void begin(WorkerConnection on) {
        connection = on;
        begun = true;
    }

    /** Whether a byte of the request may be on the wire. */
    final boolean isBegun() {
        return begun;
    }

    /** The last byte of the request is written: from now on it may have run. */
    final void markWritten() {
        written = true;
    }

    final boolean isWritten() {
        return written;
    }

    /** The connection in use, or null before the exchange has begun and after its end. */
    final WorkerConnection connection() {
        return connection;
    }

    // ---- The response ----

    /** The head of the response. */
    abstract void headReceived(HttpResponse response);

    /** A part of the response's body. */
    abstract void contentReceived(ByteBuf content);

    /** All that was ready on the connection has been read. */
    void readCompleted() {}

    /**
     * Whether the response that ends now belongs to the exchange before on this connection, so that
     * this one's own is still due.
     */
    boolean isStaleResponse() {
        return false;
    }

    /** That response has ended; this exchange's own comes next. */
    void staleResponseEnded() {}

    /**
     * The response is complete.
     *
     * @param trailers the headers behind its body
     */
    abstract void responseCompleted(HttpHeaders trailers);

    /** The connection was not established, or has ended; part of the response may have come. */
    abstract void connectionBroken();

    // ---- The end ----

    /** The outcome is reported; nothing more is. */
    final void markOver() {
        over = true;
    }

    /** Whether the outcome is reported. */
    final boolean isOver() {
        return over;
    }

    /** Leaves its connection, which may be used by another exchange. */
    final void leaveConnection() {
        connection = null;
    }

    /** Ends the exchange and closes its connection; nothing is reported any more. */
    final void cancel() {
        over = true;
        if (connection != null) {
            connection.close();
        }
    }
}
