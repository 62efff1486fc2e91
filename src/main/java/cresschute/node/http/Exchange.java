package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** One request to a backend and its answer, on a connection of its own while it lasts. */
abstract class Exchange {

    /** Set once the last byte of the request is written: from then on it may have run. */
    boolean written;
    /** Set once the outcome is told: what comes after that is read away. */
    boolean over;
    /** The connection in use, or null before one is up. */
    BackendConnection connection;

    abstract FullHttpRequest request();

    abstract void head(HttpResponse response);

    abstract void content(ByteBuf content);

    /** The answer is whole. */
    abstract void last();

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
