package cresschute.node.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Checks how a client's request is delimited on its connection. Stateless. */
final class RequestFraming {

    private RequestFraming() {}

    /** Whether requests of this version of HTTP are served. */
    static boolean isSupported(HttpVersion version) {
        return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    }

    /**
     * Whether servers may disagree about the end of the body, so that it could hide a second
     * request: its length is given twice, or by an unknown transfer coding. The codec accepts some
     * of these.
     */
    static boolean isLengthAmbiguous(HttpRequest request) {
        final String coding =
                String.join(",", request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING));
        return !coding.isEmpty()
                && (request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || !coding.strip().equalsIgnoreCase("chunked")
                        || !request.protocolVersion().equals(HttpVersion.HTTP_1_1));
    }
}
