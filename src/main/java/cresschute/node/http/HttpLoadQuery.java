package cresschute.node.http;

import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.node.LoadQueryListener;
import cresschute.node.PeerFault;
import cresschute.node.RateLimitedLog;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;

/** A load query: a sign of life, with the load report as its body where there are reports. */
final class HttpLoadQuery extends HttpExchange {

    private static final int MAX_BYTES = 4096;

    private final String host;
    private final LoadQueryListener listener;
    private final RateLimitedLog faults;
    private final StringBuilder body = new StringBuilder();
    private Future<?> timeout;
    private HttpResponse response;

    HttpLoadQuery(String host, LoadQueryListener listener, RateLimitedLog faults) {
        this.host = host;
        this.listener = listener;
        this.faults = faults;
    }

    /** Ends with this timer, unless an answer comes before. */
    void endWith(Future<?> timer) {
        timeout = timer;
    }

    void timedOut() {
        end(Outcome.TIMED_OUT, LoadReport.NONE);
        drop();
    }

    @Override
    FullHttpRequest request() {
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/stats", Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    @Override
    void head(HttpResponse head) {
        response = head;
    }

    @Override
    void content(ByteBuf content) {
        if (body.length() < MAX_BYTES) {
            body.append(content.toString(StandardCharsets.UTF_8));
        }
    }

    @Override
    void last(HttpHeaders trailers) {
        final boolean alive = response.status().equals(HttpResponseStatus.OK);
        try {
            final String header = response.headers().get(HeaderNames.LOAD);
            final LoadReport load =
                    header != null
                            ? LoadReportParser.parseHeader(header)
                            : alive ? LoadReportParser.parseBody(body.toString()) : LoadReport.NONE;
            end(alive ? Outcome.SERVED : Outcome.ERROR, load);
        } catch (JsonParseException e) {
            faults.fault(PeerFault.BAD_WORKER_ANSWER, host, "to a probe: " + e.getMessage());
            end(Outcome.ERROR, LoadReport.NONE);
        }
    }

    @Override
    void broken() {
        end(written ? Outcome.BROKEN : Outcome.CONNECT_FAILED, LoadReport.NONE);
    }

    private void end(Outcome outcome, LoadReport load) {
        if (!over) {
            over = true;
            timeout.cancel(false);
            listener.loadQueryEnded(outcome, load);
        }
    }
}
