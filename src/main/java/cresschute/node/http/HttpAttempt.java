package cresschute.node.http;

import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.node.AttemptCall;
import cresschute.node.AttemptListener;
import cresschute.node.PeerFault;
import cresschute.node.RateLimitedLog;
import cresschute.node.RequestContent;
import cresschute.node.ResultStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;

/** An attempt: the request as the client sent it, and an answer that comes in lines. */
final class HttpAttempt extends HttpExchange
        implements AttemptCall, BodyTransferListener, StreamedResponseBody.Source {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final String host;
    private final RequestContent content;
    private final AttemptListener listener;
    private final RateLimitedLog faults;
    private ProgressLineReader lines = new ProgressLineReader();

    /** What carries a long body, or null. */
    private final BodyTransfer pump;

    /** A long result from its first byte on, or null. */
    private StreamedResponseBody result;

    private boolean awaiting;
    private Outcome unstreamed;

    /**
     * Whether a line of this answer named another request, where the answer before may have come
     * twice.
     */
    private boolean anothers;

    private LoadReport load = LoadReport.NONE;

    HttpAttempt(
            String host, RequestContent content, AttemptListener listener, RateLimitedLog faults) {
        this.host = host;
        this.content = content;
        this.listener = listener;
        this.faults = faults;
        this.pump =
                content.longBody() instanceof StreamedRequestBody body
                        ? body.newTransfer(this)
                        : null;
    }

    @Override
    HttpRequest request() {
        final HttpRequest request =
                pump != null
                        ? new DefaultHttpRequest(
                                HttpVersion.HTTP_1_1, HttpMethod.POST, content.target())
                        : new DefaultFullHttpRequest(
                                HttpVersion.HTTP_1_1,
                                HttpMethod.POST,
                                content.target(),
                                Unpooled.wrappedBuffer(content.body()));
        request.headers()
                .set(HttpHeaderNames.HOST, host)
                .set(HeaderNames.REQUEST_ID, content.requestId())
                .set(HeaderNames.DEADLINE, DeadlineHeader.format(listener.remainingUs()));
        final long length =
                content.longBody() instanceof StreamedRequestBody body
                        ? body.length()
                        : content.body().length;
        if (length >= 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (content.idempotencyKey() != null) {
            request.headers().set(HeaderNames.IDEMPOTENCY_KEY, content.idempotencyKey());
        }
        return request;
    }

    @Override
    BodyTransfer body() {
        return pump;
    }

    @Override
    boolean mayBegin() {
        return listener.mayBegin();
    }

    /**
     * The worker holds a slot for the job from here on. Guards its good name against clients that
     * send a long body slowly: a job that does not start would be taken for a worker that starts
     * none.
     */
    @Override
    public void transferProgressed() {
        listener.progressed(0);
    }

    @Override
    public void transferCompleted() {
        written = true;
    }

    /** No fault of the worker's, and it cannot have run: its last byte never went out. */
    @Override
    public void transferAborted() {
        unsent(Outcome.CANCELLED);
    }

    @Override
    public void peerTooSlow() {
        unsent(Outcome.CONNECT_FAILED);
    }

    /** Guards against a second end: a worker may begin its result before it has all of the body. */
    private void unsent(Outcome outcome) {
        if (result != null) {
            breakOff();
        } else {
            end(outcome, LoadReport.NONE, null);
            drop();
        }
    }

    @Override
    public void sourceTooSlow() {
        faults.fault(PeerFault.BODY_TOO_SLOW, host, "it made too little of a result");
        breakOff();
    }

    @Override
    void head(HttpResponse response) {
        try {
            load = LoadReportParser.parseHeader(response.headers().get(HeaderNames.LOAD));
        } catch (JsonParseException e) {
            bad(e);
            return;
        }
        final int status = response.status().code();
        // Guards against taking any 503 for proof that nothing ran: only the worker's own mark is.
        final boolean notRun =
                (status == UNAVAILABLE || status == GATEWAY_TIMEOUT)
                        && "1".equals(response.headers().get(HeaderNames.NOT_RUN));
        final boolean unusable = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR;
        unstreamed =
                status == OK
                        ? null
                        : notRun ? Outcome.FULL : unusable ? Outcome.UNUSABLE : Outcome.ERROR;
    }

    @Override
    void content(ByteBuf chunk) {
        if (over || unstreamed != null || anothers) {
            return;
        }
        if (result != null) {
            pass(chunk);
            return;
        }
        if (!lines.add(chunk)) {
            bad(new JsonParseException("a line is too long"));
            return;
        }
        for (String line = lines.next(); line != null; line = lines.next()) {
            line(line);
            if (over || anothers) {
                return;
            }
            if (result != null) {
                pass(lines.rawRest());
                return;
            }
        }
    }

    // ---- A long result ----

    private void beginResult(ProgressLine line) {
        final ResultStream begun =
                listener.resultBegins(line.result(), line.follows(), latestLoad(line));
        if (begun instanceof StreamedResponseBody ours) {
            result = ours;
            result.setSource(this);
            // From now on each read is asked for.
            awaiting = true;
            connection.readByHand(true);
        } else if (begun == null) {
            bad(new JsonParseException("a long result of a class that has none"));
        } else {
            drop();
        }
    }

    private void pass(ByteBuf chunk) {
        final long max = result.statedLength() < 0 ? Long.MAX_VALUE : result.statedLength();
        if (!result.collect(chunk, connection.allocator(), max)) {
            faults.fault(PeerFault.BAD_WORKER_ANSWER, host, "a result is longer than it said");
            breakOff();
        }
    }

    @Override
    void readComplete() {
        awaiting = false;
        if (result != null && !over) {
            result.endPiece(connection.allocator());
            resumeReading();
        }
    }

    @Override
    public void resumeReading() {
        if (!over && !awaiting && result.hasCapacity()) {
            awaiting = true;
            connection.read();
        }
    }

    private void breakOff() {
        endResult(false);
        drop();
    }

    private void endResult(boolean whole) {
        if (!over) {
            over = true;
            stopPump();
            if (connection != null) {
                connection.readByHand(false);
            }
            listener.resultEnded(whole);
        }
    }

    // ---- Lines ----

    private void line(String text) {
        try {
            final ProgressLine line = ProgressLine.parse(text, content.requestId());
            if (line.follows() != null) {
                beginResult(line);
            } else if (line.outcome() == null) {
                listener.progressed(line.share());
            } else {
                end(line.outcome(), latestLoad(line), line.result());
            }
        } catch (ProgressLine.OtherRequestException e) {
            anothers = connection.isInDoubt();
            if (!anothers) {
                bad(e);
            }
        } catch (JsonParseException e) {
            bad(e);
        }
    }

    /** The load that a line reports, or else that of the head. */
    @SuppressWarnings("ReferenceEquality") // NONE itself stands for a line without a report.
    private LoadReport latestLoad(ProgressLine line) {
        return line.load() == LoadReport.NONE ? load : line.load();
    }

    @Override
    boolean isAnothers() {
        final String rest =
                over || unstreamed != null || anothers || result != null ? "" : lines.rest();
        if (!rest.isEmpty()) {
            line(rest);
        }
        return anothers;
    }

    @Override
    void anothersEnded() {
        anothers = false;
        load = LoadReport.NONE;
        lines = new ProgressLineReader();
    }

    @Override
    void last(HttpHeaders trailers) {
        if (result != null) {
            final String state = trailers.get(HeaderNames.JOB_STATE);
            endResult(
                    result.isAsLongAsStated()
                            && (state == null ? result.statedLength() >= 0 : state.equals("done")));
            return;
        }
        broken();
    }

    /**
     * Guards against guessing: what an answer's head says stands, else the request's last byte
     * decides.
     */
    @Override
    void broken() {
        if (result != null) {
            endResult(false);
            return;
        }
        end(
                unstreamed != null ? unstreamed : written ? Outcome.BROKEN : Outcome.CONNECT_FAILED,
                load,
                null);
    }

    private void bad(JsonParseException e) {
        faults.fault(PeerFault.BAD_WORKER_ANSWER, host, e.getMessage());
        end(Outcome.ERROR, LoadReport.NONE, null);
        drop();
    }

    private void end(Outcome outcome, LoadReport report, String result) {
        if (!over) {
            over = true;
            stopPump();
            listener.ended(outcome, report, result);
        }
    }

    private void stopPump() {
        if (pump != null) {
            pump.stop();
        }
    }

    @Override
    public boolean hasBegun() {
        return begun;
    }

    @Override
    public Outcome giveUp() {
        drop();
        stopPump();
        // Guards workers' good name against clients that send a long body slowly.
        return written
                ? Outcome.TIMED_OUT
                : pump != null ? Outcome.CANCELLED : Outcome.CONNECT_FAILED;
    }
}
