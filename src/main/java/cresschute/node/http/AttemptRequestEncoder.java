package cresschute.node.http;

import cresschute.node.RequestContent;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Encodes a client's request for a worker. Stateless. */
final class AttemptRequestEncoder {

    private AttemptRequestEncoder() {}

    /**
     * Returns the full request, or only its head if the body is streamed.
     *
     * @param host the worker's address, as in the Host header
     * @param content the request as received from the client
     * @param remainingUs how long the attempt may take, us
     * @throws IllegalArgumentException if the request cannot be encoded
     */
    static HttpRequest encode(String host, RequestContent content, long remainingUs) {
        final boolean isStreamed = content.longBody() instanceof StreamedRequestBody;
        final HttpRequest request = isStreamed ? headOf(content) : wholeOf(content);
        request.headers()
                .set(HttpHeaderNames.HOST, host)
                .set(HeaderNames.REQUEST_ID, content.requestId())
                .set(HeaderNames.DEADLINE, DeadlineHeader.format(remainingUs));
        final long length = lengthOf(content);
        if (length == StreamedRequestBody.UNKNOWN_LENGTH) {
            request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        if (content.idempotencyKey() != null) {
            request.headers().set(HeaderNames.IDEMPOTENCY_KEY, content.idempotencyKey());
        }
        return request;
    }

    private static HttpRequest headOf(RequestContent content) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, content.target());
    }

    private static HttpRequest wholeOf(RequestContent content) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                content.target(),
                Unpooled.wrappedBuffer(content.body()));
    }

    private static long lengthOf(RequestContent content) {
        return content.longBody() instanceof StreamedRequestBody body
                ? body.length()
                : content.body().length;
    }
}
