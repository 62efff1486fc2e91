package cresschute.node.http;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The responses of one client connection in the order of their requests, as HTTP pipelining asks: a
 * response is written once it is complete and all before it are written. A streamed result is
 * written in place while it is the first.
 *
 * <p>Each response written frees a place in flight, so {@link #flush} also submits queued requests.
 * A response that closes the connection abandons those behind it.
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class ResponseQueue {

    private final ClientConnection connection;
    private final RequestSubmitter submitter;
    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    private boolean flushing;

    /** An empty queue. */
    ResponseQueue(ClientConnection connection, RequestSubmitter submitter) {
        this.connection = connection;
        this.submitter = submitter;
    }

    /** Adds the response to the request that arrived last. */
    void add(PendingResponse response) {
        pending.add(response);
    }

    /** Removes a response that is written in full. */
    void remove(PendingResponse response) {
        pending.remove(response);
    }

    /** Responses that are due. */
    int size() {
        return pending.size();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Whether a streamed result is being written. */
    boolean isStreaming() {
        return !pending.isEmpty() && pending.peek().isStreaming();
    }

    /** Writes all responses that are complete and whose turn it is; submits queued requests. */
    void flush() {
        if (flushing) {
            return;
        }
        flushing = true;
        do {
            writeComplete();
        } while (submitter.submitNext(pending.size()));
        flushing = false;
        if (!pending.isEmpty()) {
            pending.peek().startStreaming();
        }
        connection.responsesFlushed();
    }

    private void writeComplete() {
        while (!pending.isEmpty() && pending.peek().isComplete()) {
            final PendingResponse next = pending.poll();
            // While connections are closed after their responses, requests already read are still
            // answered: only the last response closes.
            final boolean isLast =
                    connection.listener().isClosing() && pending.isEmpty() && next.isRequestRead();
            final boolean keepAlive = next.isKeepAlive() && !isLast;
            if (!keepAlive) {
                next.response().headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            written(connection.context().writeAndFlush(next.response()), keepAlive);
        }
    }

    /**
     * The last byte of a response was handed to the channel. Where the connection is not kept, what
     * the client may have sent behind that request is not answered.
     *
     * @param write completes when the bytes are written
     */
    void written(ChannelFuture write, boolean keepAlive) {
        if (!keepAlive && !connection.closer().isDiscardingInput()) {
            connection.closer().discardInput();
            abandon();
            write.addListener(done -> connection.closer().closeOutput());
        }
    }

    /** Resumes a streamed result once the channel is writable again. */
    void writabilityChanged() {
        if (isStreaming()) {
            pending.peek().writabilityChanged();
        }
    }

    /** Drops all responses and queued requests: the client gets none of them. */
    void abandon() {
        submitter.clear();
        pending.forEach(PendingResponse::clientLeft);
        pending.clear();
    }

    /** Completes each response that is not complete as failed; the connection ends with them. */
    void failAll() {
        submitter.clear();
        for (final PendingResponse response : List.copyOf(pending)) {
            if (!response.isComplete()) {
                response.clientLeft();
                response.closeAfterwards();
                response.failed();
            }
        }
    }
}
