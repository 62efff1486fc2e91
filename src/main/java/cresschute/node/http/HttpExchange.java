package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** One request to a worker and its answer, on a connection of its own while it lasts. */
abstract class HttpExchange {

    /** Set once its first byte is handed to a connection. */
    boolean begun;

    /** Set once the last byte of the request is written: from then on it may have run. */
    boolean written;

    /** Set once the outcome is told: what comes after that is read away. */
    boolean over;

    /** The connection in use, or null before one is up. */
    WorkerConnection connection;

    /**
     * The request: whole, or its head where {@link #body()} carries the rest. Made right before it
     * is written.
     */
    abstract HttpRequest request();

    /** What carries a body that is passed on as it arrives, or null. */
    BodyTransfer body() {
        return null;
    }

    /** Whether it is still wanted once a new connection for it is up; it is over where not. */
    boolean mayBegin() {
        return true;
    }

    abstract void head(HttpResponse response);

    /**
     * Whether the answer that comes turned out to be another exchange's, so that its own is still
     * due.
     */
    boolean isAnothers() {
        return false;
    }

    /** That answer is whole; the exchange's own comes next. */
    void anothersEnded() {}

    abstract void content(ByteBuf content);

    /** All that was ready has been read. */
    void readComplete() {}

    /** The answer is whole; what stood behind it. */
    abstract void last(HttpHeaders trailers);

    /** The connection never came up or is gone; an answer may have come in part. */
    abstract void broken();

    /** Ends the wait: nothing is told any more, and the connection goes. */
    final void drop() {
        over = true;
        if (connection != null) {
            connection.close();
        }
    }
}
