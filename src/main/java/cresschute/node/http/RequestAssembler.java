package cresschute.node.http;

import cresschute.node.PeerFault;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Assembles the requests of one client connection from the codec's messages: validates each head,
 * collects a short body or starts a {@link StreamedBodyReceiver} for a long one, and submits the
 * request, or completes its response with an error status.
 *
 * <p>Owns the request that is being read and its body until that is submitted. A short body is
 * submitted at its last byte, by the settings in force at that time.
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class RequestAssembler {

    /** Requests without a response that a connection may have; one more closes it. */
    private static final int MAX_UNANSWERED = 120;

    private static final int KIB = 1024;
    private static final String READY_PATH = "/health/ready";

    private final ClientConnection connection;
    private final ClientListener listener;
    private final ResponseQueue responses;
    private final RequestSubmitter submitter;
    private final RequestBodyBuffer buffer = new RequestBodyBuffer();

    /** The response to the request that is being read, or null between requests. */
    private PendingResponse current;

    /** That request as the codec read it, its head, and the parser that read the head. */
    private HttpRequest request;

    /** Null where the request is not to be submitted. */
    private RequestHead head;

    private RequestHeadParser parser;

    /** What receives that request's body where it is streamed, or null. */
    private StreamedBodyReceiver receiver;

    /** An assembler that waits for the first request. */
    RequestAssembler(
            ClientConnection connection, ResponseQueue responses, RequestSubmitter submitter) {
        this.connection = connection;
        this.listener = connection.listener();
        this.responses = responses;
        this.submitter = submitter;
    }

    /** Takes in the next message of the codec; none once input is discarded. */
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

    /** What cannot be read ends the connection now, whatever responses are due before it. */
    private void rejectMalformed() {
        if (current == null) {
            current = PendingResponse.forMalformedRequest(connection);
            responses.add(current);
        }
        if (responses.size() > 1 || responses.isStreaming()) {
            closeNow();
        } else {
            // A streamed request may have been submitted before its end: nothing is owed for it.
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
            closeNow();
            return;
        }
        connection.requestStarted();
        request = next;
        current = PendingResponse.forRequest(next, connection);
        responses.add(current);
        head = null;
        buffer.clear();
        if (!isSupported(next.protocolVersion())) {
            current.failAndClose(
                    HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 and HTTP/1.0 alone");
        } else if (isLengthAmbiguous(next)) {
            rejectMalformed();
        } else {
            startBody(next, HttpUtil.getContentLength(next, 0L));
        }
    }

    private static boolean isSupported(HttpVersion version) {
        return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    }

    /**
     * Whether servers may differ about the end of the body, so that it could hide a second request:
     * its length is given twice, or by a coding that is not known here. The codec accepts some of
     * these.
     */
    private static boolean isLengthAmbiguous(HttpRequest next) {
        final String coding =
                String.join(",", next.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING));
        return !coding.isEmpty()
                && (next.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || !coding.strip().equalsIgnoreCase("chunked")
                        || !next.protocolVersion().equals(HttpVersion.HTTP_1_1));
    }

    private void startBody(HttpRequest next, long length) {
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

    /** The longest body of the current request's class, bytes. */
    private long maxBodyBytes() {
        return listener.maxBodyBytes(head.job().requestClass());
    }

    // ---- The body ----

    private void collect(ByteBuf content) {
        if (!isReceivingStreamedBody()) {
            if (buffer.fits(content.readableBytes())) {
                buffer.add(content);
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

    /** A chunked body outgrows the buffer: it is streamed from here on, where its class allows. */
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
        current.failAndClose(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, tooLargeMessage(maxBytes));
    }

    private static String tooLargeMessage(long maxBytes) {
        return "body over " + maxBytes / KIB + " KiB";
    }

    /**
     * Starts to receive the current request's body as a stream; rejects the request where there is
     * no capacity for its window.
     *
     * @param length bytes that the head states, or {@link StreamedRequestBody#UNKNOWN_LENGTH}
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

    /** Gives up a streamed body for its client's fault, whether its request is submitted or not. */
    private void abortBody(HttpResponseStatus status, String reason) {
        final boolean isResultStreaming = current.isStreaming();
        current.clientLeft();
        if (isResultStreaming) {
            // Part of its response is written: there is no place for another one.
            connection.close();
        } else if (!current.isComplete()) {
            current.failAndClose(status, reason);
        }
    }

    // ---- The end ----

    /** The current request's last byte was read. */
    private void finish() {
        if (isReceivingStreamedBody()) {
            receiver.complete();
            submitStreamed();
            if (receiver.isReceiving()) {
                receiver.stop();
            }
            receiver = null;
            endCurrent();
            return;
        }
        final PendingResponse response = endCurrent();
        if (head != null && !response.isComplete() && reparseIfSettingsChanged(response)) {
            submitter.submitOrQueue(response, head, buffer.take(), responses.size());
        }
        request = null;
    }

    private PendingResponse endCurrent() {
        final PendingResponse response = current;
        response.requestRead();
        current = null;
        return response;
    }

    /**
     * Reads the head anew if settings came into force while the body was read.
     *
     * @return whether the request is valid by these
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

    /** A read of the channel is over. */
    void readCompleted() {
        if (isReceivingStreamedBody()) {
            receiver.readCompleted();
        }
    }

    /** Whether a request has begun and its last byte was not read. */
    boolean isReading() {
        return current != null;
    }

    /** Whether the body of the current request is streamed, and not at its end. */
    boolean isReceivingStreamedBody() {
        return receiver != null && receiver.isReceiving();
    }

    /** Whether the request that is being read is submitted, and owed a response. */
    boolean hasSubmittedCurrent() {
        return current != null && current.isSubmitted();
    }

    /** Whether what has arrived may be read at once, rather than when a body has capacity. */
    boolean mayReadNow() {
        return !isReceivingStreamedBody() || receiver.mayReadNow();
    }

    /** Gives up the streamed body that is being received where its client sends too little. */
    void checkSenderRate() {
        if (receiver.isSenderTooSlow()) {
            listener.bodies().reportTooSlow(connection.clientAddress(), "it sent too little");
            abortBody(HttpResponseStatus.REQUEST_TIMEOUT, "the body came too slowly");
        }
    }

    /** The channel is closed: nothing more is received. */
    void channelClosed() {
        if (receiver != null) {
            receiver.channelClosed();
        }
    }
}
