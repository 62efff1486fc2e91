package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request to a worker and its response.
 *
 * <p>Life cycle: created; begun on a {@link WorkerConnection}, which carries no other exchange
 * until this one ends; written; over once its outcome is reported and a streamed result has ended,
 * or once it is cancelled. Anything that the connection receives afterwards is discarded. The
 * exchange ends with {@link #responseCompleted}, {@link #connectionBroken} or {@link #cancel}. Call
 * from the event loop.
 */
abstract class HttpExchange {

    private WorkerConnection connection;
    private boolean begun;
    private boolean written;
    private boolean over;

    // ---- The request ----

    /**
     * Returns the full request, or only its head if {@link #bodyTransfer} writes the body. Called
     * right before it is written.
     *
     * @throws IllegalArgumentException if it cannot be encoded
     */
    abstract HttpRequest request();

    /** The transfer that writes a streamed body; null if {@link #request} includes the body. */
    BodyTransfer bodyTransfer() {
        return null;
    }

    /**
     * The id of the request; null if it has none. Answers carry it, and not the attempt they belong
     * to.
     */
    String requestId() {
        return null;
    }

    /** Whether to send the request once its new connection is established; if not, it is over. */
    boolean mayBegin() {
        return true;
    }

    /** Begins the exchange on this connection; called before the first byte is written. */
    final void begin(WorkerConnection on) {
        connection = on;
        begun = true;
    }

    /** Whether bytes of the request may have been sent. */
    final boolean isBegun() {
        return begun;
    }

    /** Notes that the last byte of the request is written: from now on the job may have run. */
    final void markWritten() {
        written = true;
    }

    final boolean isWritten() {
        return written;
    }

    /**
     * The connection in use; null before the exchange begins and after its response is complete.
     */
    final WorkerConnection connection() {
        return connection;
    }

    // ---- The response ----

    /** Handles the head of the response. */
    abstract void headReceived(HttpResponse response);

    /** Handles a part of the response's body. */
    abstract void contentReceived(ByteBuf content);

    /** Called when all data that was available on the connection has been read. */
    void readCompleted() {}

    /**
     * Whether the response that has just ended belongs to the previous exchange on this connection,
     * so that the response to this exchange is still to come.
     */
    boolean isStaleResponse() {
        return false;
    }

    /** Called at the end of a stale response; the response to this exchange comes next. */
    void staleResponseEnded() {}

    /**
     * Handles the end of the response.
     *
     * @param trailers the trailer fields after its body
     */
    abstract void responseCompleted(HttpHeaders trailers);

    /**
     * Called if the connection was not established, or has ended before the end of the response.
     */
    abstract void connectionBroken();

    // ---- The end ----

    /** Marks the outcome as reported: nothing more is reported afterwards. */
    final void markOver() {
        if (!over) {
            over = true;
            releaseMemory();
        }
    }

    /** Called once the exchange is over, to release memory that it does not need any more. */
    void releaseMemory() {}

    /**
     * Whether the exchange is over: it is cancelled, or its outcome is reported and a streamed
     * result, if there is one, has ended.
     */
    final boolean isOver() {
        return over;
    }

    /** Releases its connection, which another exchange may use then. */
    final void leaveConnection() {
        connection = null;
    }

    /** Ends the exchange without reporting an outcome, and closes its connection. */
    final void cancel() {
        markOver();
        if (connection != null) {
            connection.close();
        }
    }
}
