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

/**
 * A load query: checks that a worker responds, and reads its load report from a header or from the
 * body of the response. Ends once, by a response, a broken connection or its timeout; owns the
 * timer of the timeout. Call from the event loop.
 */
final class HttpLoadQuery extends HttpExchange {

    private static final String PATH = "/stats";

    /** The body's length, in characters, from which on further chunks are discarded. */
    private static final int MAX_BODY_BYTES = 4096;

    private final String host;
    private final LoadQueryListener listener;
    private final RateLimitedLog faults;
    private final StringBuilder body = new StringBuilder();
    private Future<?> timeout;
    private HttpResponse response;

    /**
     * Creates a query that has not begun.
     *
     * @param host the worker's address, as in the Host header
     */
    HttpLoadQuery(String host, LoadQueryListener listener, RateLimitedLog faults) {
        this.host = host;
        this.listener = listener;
        this.faults = faults;
    }

    /** Sets the timer that calls {@link #timedOut}; it is cancelled at the end. */
    void setTimeout(Future<?> timer) {
        timeout = timer;
    }

    /** Ends the query as timed out and closes its connection. */
    void timedOut() {
        end(Outcome.TIMED_OUT, LoadReport.NONE);
        cancel();
    }

    @Override
    FullHttpRequest request() {
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, PATH, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    @Override
    void headReceived(HttpResponse head) {
        response = head;
    }

    @Override
    void contentReceived(ByteBuf content) {
        if (body.length() < MAX_BODY_BYTES) {
            body.append(content.toString(StandardCharsets.UTF_8));
        }
    }

    @Override
    void responseCompleted(HttpHeaders trailers) {
        final boolean isOk = response.status().equals(HttpResponseStatus.OK);
        try {
            end(isOk ? Outcome.SERVED : Outcome.ERROR, loadReport(isOk));
        } catch (JsonParseException e) {
            faults.fault(
                    PeerFault.BAD_WORKER_ANSWER,
                    host,
                    "malformed response to a load query: " + e.getMessage());
            end(Outcome.ERROR, LoadReport.NONE);
        }
    }

    private LoadReport loadReport(boolean isOk) {
        final String header = response.headers().get(HeaderNames.LOAD);
        if (header != null) {
            return LoadReportParser.parseHeader(header);
        }
        return isOk ? LoadReportParser.parseBody(body.toString()) : LoadReport.NONE;
    }

    @Override
    void connectionBroken() {
        end(isWritten() ? Outcome.BROKEN : Outcome.CONNECT_FAILED, LoadReport.NONE);
    }

    private void end(Outcome outcome, LoadReport load) {
        if (!isOver()) {
            markOver();
            timeout.cancel(false);
            listener.loadQueryEnded(outcome, load);
        }
    }
}
