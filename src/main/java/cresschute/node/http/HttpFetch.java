package cresschute.node.http;

import com.google.gson.JsonParseException;
import cresschute.DispatchApi.LoadReport;
import cresschute.DispatchApi.Outcome;
import cresschute.node.Backends.Call;
import cresschute.node.Backends.FetchListener;
import cresschute.node.RateLimitedLog;
import cresschute.node.ReqContent;
import cresschute.node.Trouble;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;

/** A fetch: the req as the client sent it, and an answer that comes in lines. */
final class HttpFetch extends Exchange implements Call {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final String host;
    private final ReqContent content;
    private final long waitUs;
    private final FetchListener listener;
    private final RateLimitedLog troubles;
    private final JobLines lines = new JobLines();
    private Outcome unstreamed;
    private LoadReport load = LoadReport.NONE;

    HttpFetch(String host, ReqContent content, long waitUs, FetchListener listener, RateLimitedLog troubles) {
        this.host = host;
        this.content = content;
        this.waitUs = waitUs;
        this.listener = listener;
        this.troubles = troubles;
    }

    @Override
    FullHttpRequest request() {
        final FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            content.target(), Unpooled.wrappedBuffer(content.body()));
        request.headers()
            .set(HttpHeaderNames.HOST, host)
            .set(Headers.REQUEST_ID, content.requestId())
            .set(Headers.DEADLINE, Deadline.format(waitUs))
            .set(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
        if (content.idempotencyKey() != null) {
            request.headers().set(Headers.IDEMPOTENCY_KEY, content.idempotencyKey());
        }
        return request;
    }

    @Override
    void head(HttpResponse response) {
        try {
            load = Loads.parseHeader(response.headers().get(Headers.LOAD));
        } catch (JsonParseException e) {
            bad(e);
            return;
        }
        final int status = response.status().code();
        // Guards against taking any 503 for proof that nothing ran: only the worker's own mark is.
        final boolean notRun = (status == UNAVAILABLE || status == GATEWAY_TIMEOUT)
            && "1".equals(response.headers().get(Headers.NOT_RUN));
        final boolean unusable = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR;
        unstreamed = status == OK ? null
            : notRun ? Outcome.FULL : unusable ? Outcome.UNUSABLE : Outcome.ERROR;
    }

    @Override
    void content(ByteBuf chunk) {
        if (over || unstreamed != null) {
            return;
        }
        if (!lines.add(chunk)) {
            bad(new JsonParseException("a line is too long"));
            return;
        }
        for (String line = lines.next(); line != null && !over; line = lines.next()) {
            line(line);
        }
    }

    private void line(String text) {
        try {
            final JobLine line = JobLine.parse(text, content.requestId());
            if (line.outcome() == null) {
                listener.progressed(line.share());
            } else {
                end(line.outcome(), line.load() == LoadReport.NONE ? load : line.load(), line.result());
            }
        } catch (JsonParseException e) {
            bad(e);
        }
    }

    @Override
    void last() {
        final String rest = over || unstreamed != null ? "" : lines.rest();
        if (!rest.isEmpty()) {
            line(rest);
        }
        broken();
    }

    /** Guards against guessing: what an answer's head says stands, else the request's last byte decides. */
    @Override
    void broken() {
        end(unstreamed != null ? unstreamed : written ? Outcome.BROKEN : Outcome.CONNECT_FAILED, load, null);
    }

    private void bad(JsonParseException e) {
        troubles.trouble(Trouble.BAD_BACKEND_ANSWER, host, e.getMessage());
        end(Outcome.ERROR, LoadReport.NONE, null);
        drop();
    }

    private void end(Outcome outcome, LoadReport report, String result) {
        if (!over) {
            over = true;
            listener.ended(outcome, report, result);
        }
    }

    @Override
    public Outcome giveUp() {
        drop();
        return written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED;
    }
}
