package cresschute.node.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Creates responses that are written as a whole. Stateless. */
final class WholeResponse {

    private static final String ALLOWED_METHODS = "GET, POST";

    private WholeResponse() {}

    /**
     * Creates a response.
     *
     * @param isHead whether it has the length of its body, but no body
     * @param text its body
     * @param retryAfterUs when to retry, us from now; 0 for no advice
     */
    static FullHttpResponse of(
            HttpResponseStatus status, boolean isHead, String text, long retryAfterUs) {
        final byte[] body = text.getBytes(StandardCharsets.UTF_8);
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        isHead ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        HttpUtil.setContentLength(response, body.length);
        if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, ALLOWED_METHODS);
        }
        if (retryAfterUs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, RetryAfterHeader.format(retryAfterUs));
        }
        return response;
    }
}
