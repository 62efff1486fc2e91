package cresschute.node.http;

import cresschute.node.ClientRequest;
import cresschute.node.ResponseListener;
import cresschute.node.ResultStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * The response to one request, in the order of its connection's requests ({@link ResponseQueue}).
 *
 * <p>Life cycle: created when a request's head or malformed input arrives. A valid request is
 * submitted to the {@link cresschute.node.RequestLifecycle}. Then the response either becomes
 * complete, and is written as a whole in its turn, or it streams: its head is written, then its
 * body as the worker produces it. Owns the request's streamed body, the streamed result and the
 * request's reservation of memory, and releases all of them in {@link #release}.
 *
 * <p>Call from the channel's event loop.
 */
final class PendingResponse implements ResponseListener, BodyTransferListener {

    private static final String REJECTED = "refused";
    private static final String FAILED = "failed\n";

    /** The estimated heap of a response without its body, bytes. */
    private static final int RESPONSE_BYTES = 512;

    /** The longest response that may wait without a reservation of memory, bytes. */
    private static final int MAX_UNRESERVED_BYTES = 1024 + RESPONSE_BYTES;

    private final ClientConnection connection;
    private final boolean isHttp10;

    /** Whether the request's method is HEAD, so that its response has no body. */
    private final boolean isHead;

    /** Whether the connection stays open after this response. */
    private boolean keepAlive;

    /** Whether the request's last byte was read. */
    private boolean requestRead;

    /** The submitted request; null before it is submitted, and if it never is. */
    private ClientRequest request;

    /** Receives the request's streamed body; null if the body is not streamed. */
    private StreamedBodyReceiver receiver;

    /** The streamed result, from the request's submission on; null if its class allows none. */
    private StreamedResponseBody result;

    /** Whether the worker has begun to send the result. */
    private boolean hasResultBegun;

    /** Writes the streamed result once its turn has come; null before. */
    private BodyTransfer transfer;

    /** The whole response; null until it is complete, and if the result is streamed. */
    private FullHttpResponse response;

    /** The bytes that the request has reserved in the request memory. */
    private int requestBytes;

    /** The bytes that the whole response has reserved in the request memory. */
    private int responseBytes;

    private PendingResponse(
            ClientConnection connection, boolean keepAlive, boolean isHttp10, boolean isHead) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.isHttp10 = isHttp10;
        this.isHead = isHead;
    }

    /** Creates the response to a request whose head was read. */
    static PendingResponse forRequest(HttpRequest request, ClientConnection connection) {
        return new PendingResponse(
                connection,
                HttpUtil.isKeepAlive(request),
                request.protocolVersion().equals(HttpVersion.HTTP_1_0),
                request.method().equals(HttpMethod.HEAD));
    }

    /** Creates the response to malformed input; the connection is closed after it. */
    static PendingResponse forMalformedRequest(ClientConnection connection) {
        return new PendingResponse(connection, false, false, false);
    }

    // ---- The request ----

    /** Sets the receiver of the request's streamed body. */
    void setBodyReceiver(StreamedBodyReceiver bodyReceiver) {
        receiver = bodyReceiver;
    }

    /** Called when the request's last byte was read. */
    void requestRead() {
        requestRead = true;
    }

    /** Called when the request lifecycle has taken the request. */
    void submitted(ClientRequest taken) {
        request = taken;
    }

    /**
     * Reserves memory for the whole request, until it needs no response any more.
     *
     * @return false if there is not enough memory
     */
    boolean reserveMemory(int bytes) {
        if (!connection.listener().requestMemory().reserveRequest(bytes)) {
            return false;
        }
        requestBytes = bytes;
        return true;
    }

    /** Whether the request lifecycle has taken the request and must answer it. */
    boolean isSubmitted() {
        return request != null;
    }

    /** Whether the request's streamed body is still being received. */
    private boolean isReceivingBody() {
        return receiver != null && receiver.isReceiving();
    }

    @Override
    public boolean hasLeft() {
        // Reads the socket first, as the client's close may have arrived since the loop last read
        // it.
        connection.reads().readAllNow();
        return !context().channel().isActive();
    }

    @Override
    public long readPausedUs() {
        final long bodyPausedUs = receiver == null ? 0 : receiver.readPausedUs();
        return Math.max(bodyPausedUs, connection.reads().unreadUs());
    }

    /** Called when the client closed the connection, or will get no response to this request. */
    void clientLeft() {
        if (request != null) {
            connection.listener().lifecycle().clientLeft(request);
        }
        release();
    }

    /** Releases the reserved memory, the body and the result, which are not needed any more. */
    private void release() {
        releaseRequest();
        releaseResponse();
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

    private void releaseRequest() {
        connection.listener().requestMemory().releaseRequest(requestBytes);
        requestBytes = 0;
    }

    /** Releases the memory of the whole response; called when its client has taken it, too. */
    void releaseResponse() {
        connection.listener().requestMemory().releaseResponse(responseBytes);
        responseBytes = 0;
    }

    // ---- A whole response ----

    /** Whether the whole response is ready to be written. */
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
        complete(HttpResponseStatus.INTERNAL_SERVER_ERROR, FAILED, 0);
    }

    /** Completes with a status and an empty body, for a readiness check. */
    void complete(HttpResponseStatus status) {
        complete(status, "", 0);
    }

    /**
     * Rejects a request before it is submitted, with status 503 and a time after which to retry,
     * us.
     */
    void reject(long retryAfterUs) {
        completeUnsubmitted(HttpResponseStatus.SERVICE_UNAVAILABLE, REJECTED, retryAfterUs);
    }

    /** Completes a request that cannot be submitted, with an error status. */
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

    /** Same as {@link #failAndClose}, with status 503 and a time after which to retry, us. */
    void rejectAndClose(long retryAfterUs) {
        completeAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, REJECTED, retryAfterUs);
    }

    /**
     * Completes a request whose rest is not read. The rest is discarded for a linger time, then the
     * connection is closed.
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
        response = WholeResponse.of(status, isHead, text, retryAfterUs);
        if (isReceivingBody()) {
            // The request is answered before its last byte was read; the rest is discarded for a
            // while.
            receiver.stop();
            if (!connection.closer().isDiscardingInput()) {
                connection.closer().discardInput();
                keepAlive = false;
                connection.closeAfterLinger();
            }
        }
        release();
        if (!reserveResponse()) {
            connection
                    .listener()
                    .reportMemoryExceeded("a result waits for earlier responses; it is failed");
            response =
                    WholeResponse.of(HttpResponseStatus.INTERNAL_SERVER_ERROR, isHead, FAILED, 0);
        }
        connection.responses().flush();
    }

    /** Reserves memory for the response until its client has taken it; false if there is none. */
    private boolean reserveResponse() {
        final int bytes = RESPONSE_BYTES + response.content().readableBytes();
        if (connection.listener().requestMemory().reserveResponse(bytes)) {
            responseBytes = bytes;
            return true;
        }
        return bytes <= MAX_UNRESERVED_BYTES;
    }

    // ---- A streamed result ----

    /**
     * Reserves capacity for a streamed result, where the request's class allows one.
     *
     * @return false if there is no capacity
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

    /** Whether the result's head was written and its body is being written. */
    boolean isStreaming() {
        return transfer != null;
    }

    /**
     * Called when this response is the next to be written: if its result has begun, writes the head
     * and the bytes received so far.
     */
    void startStreaming() {
        if (!hasResultBegun || transfer != null || isComplete()) {
            return;
        }
        if (result.isLost()) {
            // Nothing is written yet, so the client can get a complete error response.
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

    /** Called when the client's connection accepts more bytes again. */
    void writabilityChanged() {
        transfer.resume();
    }

    @Override
    public void transferCompleted() {
        connection.responses().remove(this);
        if (isReceivingBody()) {
            // The client is still sending a body that is not needed any more.
            receiver.stop();
            keepAlive = false;
        }
        release();
        connection.responses().written(context().writeAndFlush(Unpooled.EMPTY_BUFFER), keepAlive);
        connection.responses().flush();
    }

    /**
     * Closes the connection, so that the client sees that the result is incomplete. An HTTP/1.0
     * client without a content length could not tell, so its connection is reset.
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

    /** Whether the request's last byte was read. */
    boolean isRequestRead() {
        return requestRead;
    }

    private ChannelHandlerContext context() {
        return connection.context();
    }
}
