package cresschute.node.http;

import cresschute.node.PeerFault;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Assembles the requests of one client connection from the codec's messages. It validates each
 * head, collects a short body or starts a {@link StreamedBodyReceiver} for a long one, and submits
 * the request or completes its response with an error status.
 *
 * <p>Owns the request that is being read, and its body until the request is submitted. A request
 * with a short body is submitted at its last byte, under the settings in force at that time.
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class RequestAssembler {

    /**
     * The maximum number of requests without a response on one connection. One more is rejected,
     * and closes the connection after all responses.
     */
    private static final int MAX_UNANSWERED = 120;

    private static final int KIB = 1024;
    private static final String READY_PATH = "/health/ready";

    private final ClientConnection connection;
    private final ClientListener listener;
    private final ResponseQueue responses;
    private final RequestSubmitter submitter;
    private final RequestBodyBuffer buffer;

    /** The response to the request that is being read, or null between requests. */
    private PendingResponse current;

    /** The request that is being read, as the codec decoded it. */
    private HttpRequest request;

    /** Its parsed head; null if the request must not be submitted. */
    private RequestHead head;

    /** The parser that parsed {@link #head}. */
    private RequestHeadParser parser;

    /** Receives that request's body; null if the body is not streamed. */
    private StreamedBodyReceiver receiver;

    /** Creates an assembler that waits for the first request. */
    RequestAssembler(
            ClientConnection connection, ResponseQueue responses, RequestSubmitter submitter) {
        this.connection = connection;
        this.listener = connection.listener();
        this.responses = responses;
        this.submitter = submitter;
        this.buffer = new RequestBodyBuffer(connection.input());
    }

    /** Handles the next message of the codec. Must not be called once input is discarded. */
    void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            rejectMalformed();
            return;
        }
        if (message instanceof HttpRequest next) {
            start(next);
        }
        if (message instanceof HttpContent content && current != null && !isDiscardingInput()) {
            collect(content.content());
            if (content instanceof LastHttpContent && !isDiscardingInput()) {
                finish();
            }
        }
    }

    private boolean isDiscardingInput() {
        return connection.closer().isDiscardingInput();
    }

    // ---- The head ----

    /**
     * Handles malformed input: closes the connection at once if earlier responses are due or a
     * result is being streamed, else after a response with status 400.
     */
    private void rejectMalformed() {
        if (current == null) {
            current = PendingResponse.forMalformedRequest(connection);
            responses.add(current);
        }
        if (responses.size() > 1 || responses.isStreaming()) {
            closeNow();
        } else {
            // A streamed request may already be submitted: the request lifecycle must not answer
            // it.
            current.clientLeft();
            current.failAndClose(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
        }
    }

    private void closeNow() {
        connection.closer().discardInput();
        connection.close();
    }

    private void start(HttpRequest next) {
        if (responses.size() >= MAX_UNANSWERED) {
            listener.lifecycle()
                    .faults()
                    .fault(
                            PeerFault.CLIENT_CONNECTION,
                            null,
                            MAX_UNANSWERED + " requests on one connection wait for a response");
            current = PendingResponse.forRequest(next, connection);
            responses.add(current);
            current.rejectAndClose(listener.lifecycle().retryAfterUs());
            return;
        }
        connection.requestStarted();
        request = next;
        current = PendingResponse.forRequest(next, connection);
        responses.add(current);
        head = null;
        buffer.clear();
        if (!RequestFraming.isSupported(next.protocolVersion())) {
            current.failAndClose(
                    HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 and HTTP/1.0 alone");
        } else if (RequestFraming.isLengthAmbiguous(next)) {
            rejectMalformed();
        } else {
            startBody(next, HttpUtil.getContentLength(next, 0L));
        }
    }

    private void startBody(HttpRequest next, long length) {
        buffer.start(length);
        if (length > listener.maxBodyBytes()) {
            rejectTooLarge(listener.maxBodyBytes());
            return;
        }
        if (isReadinessCheck(next.uri())) {
            current.complete(readinessStatus(next.method()));
            return;
        }
        try {
            parser = listener.parser();
            head = parser.parse(next);
        } catch (InvalidRequestHeadException e) {
            current.fail(e.status(), e.getMessage());
            return;
        }
        if (length > maxBodyBytes()) {
            rejectTooLarge(maxBodyBytes());
            return;
        }
        if (length > RequestBodyBuffer.MAX_BYTES && !startStreaming(length)) {
            return;
        }
        if (HttpUtil.is100ContinueExpected(next)) {
            connection
                    .context()
                    .writeAndFlush(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.CONTINUE,
                                    Unpooled.EMPTY_BUFFER));
        }
    }

    private static boolean isReadinessCheck(String uri) {
        final int pathEnd = uri.indexOf('?');
        return (pathEnd < 0 ? uri : uri.substring(0, pathEnd)).equals(READY_PATH);
    }

    private HttpResponseStatus readinessStatus(HttpMethod method) {
        if (!method.equals(HttpMethod.GET)) {
            return HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        return listener.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    /** The maximum body size of the current request's class, bytes. */
    private long maxBodyBytes() {
        return listener.maxBodyBytes(head.job().requestClass());
    }

    // ---- The body ----

    private void collect(ByteBuf content) {
        if (!isReceivingStreamedBody()) {
            if (buffer.fits(content.readableBytes())) {
                collectBuffered(content);
                return;
            }
            if (!streamBufferedBody()) {
                return;
            }
        }
        if (!receiver.receive(content, maxBodyBytes())) {
            abortBody(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, tooLargeMessage(maxBodyBytes()));
        }
    }

    private void collectBuffered(ByteBuf content) {
        if (head == null || current.isComplete()) {
            // The request is answered already, so its body is not needed.
            buffer.skip(content.readableBytes());
        } else if (!buffer.add(content)) {
            buffer.clear();
            listener.reportMemoryExceeded("rejecting a client's request");
            current.rejectAndClose(listener.lifecycle().retryAfterUs());
        }
    }

    /**
     * Switches a chunked body that outgrows the buffer to streaming. If its class does not allow
     * that, rejects the request and returns false.
     */
    private boolean streamBufferedBody() {
        final long maxBytes =
                head == null || current.isComplete() ? RequestBodyBuffer.MAX_BYTES : maxBodyBytes();
        if (maxBytes <= RequestBodyBuffer.MAX_BYTES) {
            rejectTooLarge(maxBytes);
            return false;
        }
        if (!startStreaming(StreamedRequestBody.UNKNOWN_LENGTH)) {
            return false;
        }
        receiver.receive(buffer.takeBuffer(), maxBytes);
        return true;
    }

    private void rejectTooLarge(long maxBytes) {
        buffer.clear();
        current.failAndClose(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, tooLargeMessage(maxBytes));
    }

    private static String tooLargeMessage(long maxBytes) {
        return "body over " + maxBytes / KIB + " KiB";
    }

    /**
     * Starts to receive the current request's body as a stream. If there is no capacity for its
     * window, rejects the request and returns false.
     *
     * @param length the length that the head states, bytes, or {@link
     *     StreamedRequestBody#UNKNOWN_LENGTH}
     */
    private boolean startStreaming(long length) {
        final StreamedBodyReceiver next =
                new StreamedBodyReceiver(connection.context().channel(), this::submitStreamed);
        final StreamedRequestBody body =
                listener.bodies()
                        .openRequestBody(
                                connection.clientHost(),
                                head.job().requestClass(),
                                length,
                                next::capacityFreed);
        if (body == null) {
            current.rejectAndClose(listener.lifecycle().retryAfterUs());
            return false;
        }
        receiver = next;
        current.setBodyReceiver(next);
        next.start(body);
        return true;
    }

    private void submitStreamed() {
        if (!current.isSubmitted() && !current.isComplete()) {
            submitter.submitStreamed(current, head, receiver.body());
        }
    }

    /**
     * Aborts a streamed body because of its client's fault, whether or not its request is
     * submitted.
     */
    private void abortBody(HttpResponseStatus status, String reason) {
        final boolean isResultStreaming = current.isStreaming();
        current.clientLeft();
        if (isResultStreaming) {
            // Part of the result is already written, so no error response can follow.
            connection.close();
        } else if (!current.isComplete()) {
            current.failAndClose(status, reason);
        }
    }

    // ---- The end ----

    /** Called when the current request's last byte was read. */
    private void finish() {
        if (isReceivingStreamedBody()) {
            receiver.complete();
            submitStreamed();
            if (receiver.isReceiving()) {
                receiver.stop();
            }
            receiver = null;
            endCurrent();
            forgetRequest();
            return;
        }
        final PendingResponse response = endCurrent();
        if (head != null && !response.isComplete() && reparseIfSettingsChanged(response)) {
            submitter.submitOrQueue(response, head, buffer.take(), responses.size());
        }
        forgetRequest();
    }

    /** Releases what was read of a request, and the parser, which may be of earlier settings. */
    private void forgetRequest() {
        request = null;
        head = null;
        parser = null;
        buffer.clear();
        connection.headReleased();
    }

    /**
     * Rejects the request that is being received, whose rest is not wanted. Not for a streamed
     * body.
     */
    void rejectUnfinished() {
        if (current == null) {
            current = PendingResponse.forMalformedRequest(connection);
            responses.add(current);
        }
        buffer.clear();
        if (!current.isComplete()) {
            current.rejectAndClose(listener.lifecycle().retryAfterUs());
        }
    }

    private PendingResponse endCurrent() {
        final PendingResponse response = current;
        response.requestRead();
        current = null;
        return response;
    }

    /**
     * Parses the head again if other settings came into force while the body was read.
     *
     * @return whether the request is valid under the current settings
     */
    private boolean reparseIfSettingsChanged(PendingResponse response) {
        if (listener.parser() == parser) {
            return true;
        }
        try {
            head = listener.parser().parse(request);
            return true;
        } catch (InvalidRequestHeadException e) {
            response.fail(e.status(), e.getMessage());
            return false;
        }
    }

    // ---- State ----

    /** Called when a read of the channel has ended. */
    void readCompleted() {
        if (isReceivingStreamedBody()) {
            receiver.readCompleted();
        }
    }

    /** Whether a request has begun and its last byte was not read yet. */
    boolean isReading() {
        return current != null;
    }

    /** Whether the body of the current request is streamed and not complete yet. */
    boolean isReceivingStreamedBody() {
        return receiver != null && receiver.isReceiving();
    }

    /** Whether the request that is being read is already submitted and needs a response. */
    boolean hasSubmittedCurrent() {
        return current != null && current.isSubmitted();
    }

    /** Whether received bytes may be read at once, i.e. no streamed body waits for capacity. */
    boolean mayReadNow() {
        return !isReceivingStreamedBody() || receiver.mayReadNow();
    }

    /** Aborts the streamed body that is being received if its client sends too slowly. */
    void checkSenderRate() {
        if (receiver.isSenderTooSlow()) {
            listener.bodies().reportTooSlow(connection.clientAddress(), "it sent too little");
            abortBody(HttpResponseStatus.REQUEST_TIMEOUT, "the body came too slowly");
        }
    }

    /** Called when the channel is closed and nothing more is received. */
    void channelClosed() {
        if (receiver != null) {
            receiver.channelClosed();
        }
        forgetRequest();
    }
}
