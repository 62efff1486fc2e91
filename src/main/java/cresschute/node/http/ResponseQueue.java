package cresschute.node.http;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The responses of one client connection in the order of their requests, as HTTP pipelining
 * requires. A response is written once it is complete and all earlier ones are written. A streamed
 * result is written while it is the first in the queue.
 *
 * <p>Each written response allows one more request in flight, so {@link #flush} also submits queued
 * requests. A response that closes the connection drops the responses after it.
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class ResponseQueue {

    private final ClientConnection connection;
    private final RequestSubmitter submitter;
    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    private boolean flushing;

    /** Creates an empty queue. */
    ResponseQueue(ClientConnection connection, RequestSubmitter submitter) {
        this.connection = connection;
        this.submitter = submitter;
    }

    /** Appends the response to the request that arrived last. */
    void add(PendingResponse response) {
        pending.add(response);
    }

    /** Removes a response that is completely written. */
    void remove(PendingResponse response) {
        pending.remove(response);
    }

    /** The number of responses that are due. */
    int size() {
        return pending.size();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Whether no earlier response is due. */
    boolean isNext(PendingResponse response) {
        return pending.peek() == response;
    }

    /** Whether a streamed result is being written. */
    boolean isStreaming() {
        return !pending.isEmpty() && pending.peek().isStreaming();
    }

    /**
     * Writes each complete response that has no incomplete one before it, and submits queued
     * requests.
     */
    void flush() {
        if (flushing) {
            return;
        }
        flushing = true;
        try {
            do {
                writeComplete();
            } while (submitter.submitNext(pending.size()));
        } finally {
            flushing = false;
        }
        if (!pending.isEmpty()) {
            pending.peek().startStreaming();
        }
        connection.responsesFlushed();
    }

    private void writeComplete() {
        while (!pending.isEmpty() && pending.peek().isComplete()) {
            final PendingResponse next = pending.poll();
            // While the node closes connections after their responses, requests that were already
            // read are still answered: only the last response closes the connection.
            final boolean isLast =
                    connection.listener().isClosing() && pending.isEmpty() && next.isRequestRead();
            final boolean keepAlive = next.isKeepAlive() && !isLast;
            if (!keepAlive) {
                next.response().headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            written(write(next), keepAlive);
        }
    }

    /** Writes a whole response, whose memory is released once its client has taken it. */
    private ChannelFuture write(PendingResponse next) {
        final RequestMemory memory = connection.listener().requestMemory();
        final ChannelFuture write = connection.write(next.response());
        if (write.isDone()) {
            next.releaseResponse();
            return write;
        }
        final RequestMemory.UntakenResponse untaken = memory.handed(connection::close);
        return write.addListener(
                done -> {
                    memory.taken(untaken);
                    next.releaseResponse();
                });
    }

    /**
     * Called when the last byte of a response was handed to the channel. If the connection is not
     * kept alive, requests that the client sent after that one are not answered.
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

    /** Called when the channel's writability changed: resumes a streamed result. */
    void writabilityChanged() {
        if (isStreaming()) {
            pending.peek().writabilityChanged();
        }
    }

    /** Drops all responses and queued requests; the client receives none of them. */
    void abandon() {
        submitter.clear();
        pending.forEach(PendingResponse::clientLeft);
        pending.clear();
    }

    /** Completes each incomplete response as failed; the connection is closed after it. */
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
