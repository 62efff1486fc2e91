package cresschute.node.http;

import cresschute.node.ClientRequest;
import cresschute.node.ResponseListener;
import cresschute.node.ResultStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * The response to one request, in its place among those of its connection ({@link ResponseQueue}).
 *
 * <p>Life cycle: created when the request's head, or what cannot be read as one, arrives; submitted
 * to the life cycle where the request is usable; then either complete, with a whole response to be
 * written in its turn, or streaming, with a head and a body that is written as the worker makes it.
 * Owns the request's streamed body and the streamed result, and closes both in {@link #release}.
 *
 * <p>Call from the channel's event loop.
 */
final class PendingResponse implements ResponseListener, BodyTransferListener {

    private static final String ALLOWED_METHODS = "GET, POST";
    private static final String REJECTED = "refused";

    private final ClientConnection connection;
    private final boolean isHttp10;

    /** Whether the connection goes on after this response. */
    private boolean keepAlive;

    /** Whether the request's last byte was read. */
    private boolean requestRead;

    /** The request, once submitted; null before and where it never is. */
    private ClientRequest request;

    /** What receives the request's streamed body, or null where its body is short. */
    private StreamedBodyReceiver receiver;

    /** The result where its class allows a streamed one, from the request's submission on. */
    private StreamedResponseBody result;

    /** Whether the result has begun, and what writes it once its turn has come. */
    private boolean hasResultBegun;

    private BodyTransfer transfer;

    /** The whole response, or null while there is none. */
    private FullHttpResponse response;

    private PendingResponse(ClientConnection connection, boolean keepAlive, boolean isHttp10) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.isHttp10 = isHttp10;
    }

    /** The response to a request of which the head was read. */
    static PendingResponse forRequest(HttpRequest request, ClientConnection connection) {
        return new PendingResponse(
                connection,
                HttpUtil.isKeepAlive(request),
                request.protocolVersion().equals(HttpVersion.HTTP_1_0));
    }

    /** The response to bytes that are no request; the connection ends with it. */
    static PendingResponse forMalformedRequest(ClientConnection connection) {
        return new PendingResponse(connection, false, false);
    }

    // ---- The request ----

    /** The request's body is streamed, by this receiver. */
    void setBodyReceiver(StreamedBodyReceiver bodyReceiver) {
        receiver = bodyReceiver;
    }

    /** The request's last byte was read. */
    void requestRead() {
        requestRead = true;
    }

    /** The life cycle has taken the request. */
    void submitted(ClientRequest taken) {
        request = taken;
    }

    /** Whether the life cycle has taken the request, and owes it a response. */
    boolean isSubmitted() {
        return request != null;
    }

    /** Whether the request's streamed body is still being received. */
    private boolean isReceivingBody() {
        return receiver != null && receiver.isReceiving();
    }

    @Override
    public boolean hasLeft() {
        // What arrived since the loop last read this socket, the client's close too, lies in it.
        connection.readNow();
        return !context().channel().isActive();
    }

    @Override
    public long readPausedUs() {
        return receiver == null ? 0 : receiver.readPausedUs();
    }

    /** The client is gone, or gets no response to this request. */
    void clientLeft() {
        if (request != null) {
            connection.listener().lifecycle().clientLeft(request);
        }
        release();
    }

    /** Closes what this response owns: neither the request's body nor the result is needed. */
    private void release() {
        if (transfer != null) {
            transfer.stop();
        }
        if (result != null) {
            result.drop();
        }
        if (receiver != null) {
            receiver.body().retire();
        }
    }

    // ---- A whole response ----

    /** Whether the whole response is there. */
    boolean isComplete() {
        return response != null;
    }

    FullHttpResponse response() {
        return response;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    void closeAfterwards() {
        keepAlive = false;
    }

    @Override
    public void served(String text) {
        complete(HttpResponseStatus.OK, text, 0);
    }

    @Override
    public void localReply(long retryAfterUs) {
        complete(HttpResponseStatus.SERVICE_UNAVAILABLE, REJECTED + "\n", retryAfterUs);
    }

    @Override
    public void failed() {
        if (transfer != null) {
            result.finish(false);
            return;
        }
        complete(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed\n", 0);
    }

    /** Completes with a status alone, for a health check. */
    void complete(HttpResponseStatus status) {
        complete(status, "", 0);
    }

    /** Completes a request that is rejected before it is submitted: 503, retry after that, us. */
    void reject(long retryAfterUs) {
        completeUnsubmitted(HttpResponseStatus.SERVICE_UNAVAILABLE, REJECTED, retryAfterUs);
    }

    /** Completes a request that cannot be submitted. */
    void fail(HttpResponseStatus status, String reason) {
        completeUnsubmitted(status, reason, 0);
    }

    private void completeUnsubmitted(HttpResponseStatus status, String reason, long retryAfterUs) {
        if (isReceivingBody()) {
            completeAndClose(status, reason, retryAfterUs);
        } else {
            complete(status, reason + "\n", retryAfterUs);
        }
    }

    /** As {@link #failAndClose}, with status 503 and a time after which to retry, us. */
    void rejectAndClose(long retryAfterUs) {
        completeAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, REJECTED, retryAfterUs);
    }

    /**
     * Completes a request of which the rest is not read: that is discarded for a while, and the
     * connection closed.
     */
    void failAndClose(HttpResponseStatus status, String reason) {
        completeAndClose(status, reason, 0);
    }

    private void completeAndClose(HttpResponseStatus status, String reason, long retryAfterUs) {
        connection.closer().discardInput();
        keepAlive = false;
        complete(status, reason + "\n", retryAfterUs);
        connection.closeAfterLinger();
    }

    private void complete(HttpResponseStatus status, String text, long retryAfterUs) {
        response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, ALLOWED_METHODS);
        }
        if (retryAfterUs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, RetryAfterHeader.format(retryAfterUs));
        }
        if (isReceivingBody()) {
            // Answered before its last byte: what is left of it is discarded for a while.
            receiver.stop();
            if (!connection.closer().isDiscardingInput()) {
                connection.closer().discardInput();
                keepAlive = false;
                connection.closeAfterLinger();
            }
        }
        release();
        connection.responses().flush();
    }

    // ---- A streamed result ----

    /**
     * Reserves capacity for a streamed result, where the request's class allows one.
     *
     * @return false where there is no capacity
     */
    boolean reserveStreamedResult(RequestHead head) {
        final int requestClass = head.job().requestClass();
        if (!connection.listener().allowsStreamedResults(requestClass)) {
            return true;
        }
        result =
                connection
                        .listener()
                        .bodies()
                        .openResponseBody(connection.clientHost(), requestClass, context().alloc());
        return result != null;
    }

    @Override
    public ResultStream resultBegins(String type, long length) {
        if (result == null) {
            return null;
        }
        hasResultBegun = true;
        result.begin(type, length);
        connection.responses().flush();
        return result;
    }

    /** Whether the result's head is written and its body under way. */
    boolean isStreaming() {
        return transfer != null;
    }

    /** Its turn has come: writes the head of a result that has begun, and what there is of it. */
    void startStreaming() {
        if (!hasResultBegun || transfer != null || isComplete()) {
            return;
        }
        if (result.isLost()) {
            // Nothing of it is written yet, so the client can get a proper failure.
            failed();
            return;
        }
        context().writeAndFlush(streamedHead());
        transfer = result.newTransfer(this);
        transfer.start(context().channel());
    }

    private DefaultHttpResponse streamedHead() {
        final DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (result.type() != null) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, result.type());
        }
        if (result.hasStatedLength()) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, result.statedLength());
        } else if (isHttp10) {
            keepAlive = false;
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (connection.listener().isClosing()
                && connection.responses().size() == 1
                && requestRead) {
            keepAlive = false;
        }
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return head;
    }

    /** The client's connection takes more bytes again. */
    void writabilityChanged() {
        transfer.resume();
    }

    @Override
    public void transferCompleted() {
        connection.responses().remove(this);
        if (isReceivingBody()) {
            // Its client still sends a body that is not needed any more.
            receiver.stop();
            keepAlive = false;
        }
        release();
        connection.responses().written(context().writeAndFlush(Unpooled.EMPTY_BUFFER), keepAlive);
        connection.responses().flush();
    }

    /**
     * The close, or for a client that counts no bytes a reset, shows that the result is not whole.
     */
    @Override
    public void transferAborted() {
        if (isHttp10 && !result.hasStatedLength()) {
            context().channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        release();
        connection.close();
    }

    @Override
    public void peerTooSlow() {
        connection.close();
    }

    /** Whether the request was read to its end. */
    boolean isRequestRead() {
        return requestRead;
    }

    private ChannelHandlerContext context() {
        return connection.context();
    }
}
