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

/**
 * An attempt of a request at a worker: the request as its client sent it, and a response in lines
 * ({@link ProgressLine}), which a streamed result may follow.
 *
 * <p>Ends once, and reports that to its {@link AttemptListener}: by a line, by the status of the
 * response, by a break, or by {@link #abort}, which reports nothing. What has no end in its
 * response is decided by the request's last byte: before that is written the job cannot have run,
 * after that it may have.
 *
 * <p>Owns the transfer of a streamed body, and the connection's autoRead while it receives a
 * streamed result. Call from the event loop.
 */
final class HttpAttempt extends HttpExchange
        implements AttemptCall, BodyTransferListener, StreamedResponseBody.Source {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String NOT_RUN_VALUE = "1";
    private static final String JOB_STATE_DONE = "done";

    private final String host;
    private final RequestContent content;
    private final AttemptListener listener;
    private final RateLimitedLog faults;

    /** What writes a streamed body, or null. */
    private final BodyTransfer transfer;

    private ProgressLineReader lineReader = new ProgressLineReader();

    /** The load report of the response's head. */
    private LoadReport headerLoad = LoadReport.NONE;

    /** The outcome that the response's status states; null where its lines do. */
    private Outcome statusOutcome;

    /** Whether a line named another request where the response before may come twice. */
    private boolean staleResponse;

    /** A streamed result from its first byte on, or null. */
    private StreamedResponseBody result;

    /** Whether a read of the result was requested and is not over. */
    private boolean readPending;

    /**
     * An attempt that has not begun.
     *
     * @param host the worker's address as the Host header has it
     */
    HttpAttempt(
            String host, RequestContent content, AttemptListener listener, RateLimitedLog faults) {
        this.host = host;
        this.content = content;
        this.listener = listener;
        this.faults = faults;
        this.transfer =
                content.longBody() instanceof StreamedRequestBody body
                        ? body.newTransfer(this)
                        : null;
    }

    // ---- The request ----

    @Override
    HttpRequest request() {
        final HttpRequest request =
                transfer != null
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
        final long length = bodyLength();
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

    private long bodyLength() {
        return content.longBody() instanceof StreamedRequestBody body
                ? body.length()
                : content.body().length;
    }

    @Override
    BodyTransfer bodyTransfer() {
        return transfer;
    }

    @Override
    boolean mayBegin() {
        return listener.mayBegin();
    }

    @Override
    public boolean hasBegun() {
        return isBegun();
    }

    /**
     * The worker holds a slot for the job from here on. Reported as its start: a job whose client
     * sends a long body slowly would else look like one that its worker does not start.
     */
    @Override
    public void transferProgressed() {
        listener.progressed(0);
    }

    @Override
    public void transferCompleted() {
        markWritten();
    }

    /** No fault of the worker's, and the job cannot have run: its last byte was never written. */
    @Override
    public void transferAborted() {
        endBeforeWritten(Outcome.CANCELLED);
    }

    @Override
    public void peerTooSlow() {
        endBeforeWritten(Outcome.CONNECT_FAILED);
    }

    private void endBeforeWritten(Outcome outcome) {
        if (result != null) {
            // A worker may begin its result before it has all of the body: the end was reported.
            abortResult();
        } else {
            end(outcome, LoadReport.NONE, null);
            cancel();
        }
    }

    // ---- The response ----

    @Override
    void headReceived(HttpResponse response) {
        try {
            headerLoad = LoadReportParser.parseHeader(response.headers().get(HeaderNames.LOAD));
        } catch (JsonParseException e) {
            endWithBadResponse(e);
            return;
        }
        statusOutcome = outcomeOf(response);
    }

    /** The outcome that a status states, or null where the lines do. */
    private static Outcome outcomeOf(HttpResponse response) {
        final int status = response.status().code();
        if (status == OK) {
            return null;
        }
        // Only the worker's own mark proves that nothing ran; a proxy may send a 503 as well.
        if ((status == UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && NOT_RUN_VALUE.equals(response.headers().get(HeaderNames.NOT_RUN))) {
            return Outcome.FULL;
        }
        return response.status().codeClass() == HttpStatusClass.CLIENT_ERROR
                ? Outcome.UNUSABLE
                : Outcome.ERROR;
    }

    @Override
    void contentReceived(ByteBuf chunk) {
        if (isOver() || statusOutcome != null || staleResponse) {
            return;
        }
        if (result != null) {
            forwardToResult(chunk);
        } else if (lineReader.add(chunk)) {
            readLines();
        } else {
            endWithBadResponse(new JsonParseException("a line is too long"));
        }
    }

    private void readLines() {
        for (String line = lineReader.nextLine(); line != null; line = lineReader.nextLine()) {
            lineReceived(line);
            if (isOver() || staleResponse) {
                return;
            }
            if (result != null) {
                forwardToResult(lineReader.takeRemaining());
                return;
            }
        }
    }

    /** The load that a line reports, or else that of the head. */
    @SuppressWarnings("ReferenceEquality") // NONE itself stands for a line without a report.
    private LoadReport latestLoad(ProgressLine line) {
        return line.load() == LoadReport.NONE ? headerLoad : line.load();
    }

    private void lineReceived(String text) {
        try {
            final ProgressLine line = ProgressLine.parse(text, content.requestId());
            final LoadReport load = latestLoad(line);
            switch (line.kind()) {
                case PROGRESS -> listener.progressed(line.fractionDone());
                case RESULT_FOLLOWS -> beginResult(line.text(), line.resultLength(), load);
                default -> end(line.outcome(), load, line.text());
            }
        } catch (RequestIdMismatchException e) {
            staleResponse = connection().mayReceiveDuplicate();
            if (!staleResponse) {
                endWithBadResponse(e);
            }
        } catch (JsonParseException e) {
            endWithBadResponse(e);
        }
    }

    @Override
    boolean isStaleResponse() {
        if (!isOver() && statusOutcome == null && !staleResponse && result == null) {
            final String lastLine = lineReader.takeLastLine();
            if (!lastLine.isEmpty()) {
                lineReceived(lastLine);
            }
        }
        return staleResponse;
    }

    @Override
    void staleResponseEnded() {
        staleResponse = false;
        headerLoad = LoadReport.NONE;
        lineReader = new ProgressLineReader();
    }

    @Override
    void responseCompleted(HttpHeaders trailers) {
        if (result != null) {
            endResult(isResultComplete(trailers.get(HeaderNames.JOB_STATE)));
        } else {
            connectionBroken();
        }
    }

    @Override
    void connectionBroken() {
        if (result != null) {
            endResult(false);
        } else if (statusOutcome != null) {
            end(statusOutcome, headerLoad, null);
        } else {
            end(isWritten() ? Outcome.BROKEN : Outcome.CONNECT_FAILED, headerLoad, null);
        }
    }

    // ---- A streamed result ----

    private void beginResult(String type, long length, LoadReport load) {
        final ResultStream stream = listener.resultBegins(type, length, load);
        if (stream instanceof StreamedResponseBody body) {
            result = body;
            result.setSource(this);
            // The read that is under way counts as the first one requested.
            readPending = true;
            connection().stopAutoRead();
        } else if (stream == null) {
            endWithBadResponse(new JsonParseException("a long result of a class that has none"));
        } else {
            cancel();
        }
    }

    private void forwardToResult(ByteBuf chunk) {
        final long maxBytes = result.hasStatedLength() ? result.statedLength() : Long.MAX_VALUE;
        if (!result.collect(chunk, connection().allocator(), maxBytes)) {
            faults.fault(PeerFault.BAD_WORKER_ANSWER, host, "a result is longer than it said");
            abortResult();
        }
    }

    @Override
    void readCompleted() {
        readPending = false;
        if (result != null && !isOver()) {
            result.endPiece(connection().allocator());
            resumeReading();
        }
    }

    @Override
    public void resumeReading() {
        if (!isOver() && !readPending && result.hasCapacity()) {
            readPending = true;
            connection().read();
        }
    }

    @Override
    public void sourceTooSlow() {
        faults.fault(PeerFault.BODY_TOO_SLOW, host, "it made too little of a result");
        abortResult();
    }

    /** Whether the response's end completes the result: by its trailer, or by its length. */
    private boolean isResultComplete(String state) {
        return result.matchesStatedLength()
                && (state == null ? result.hasStatedLength() : state.equals(JOB_STATE_DONE));
    }

    private void abortResult() {
        endResult(false);
        cancel();
    }

    private void endResult(boolean complete) {
        if (!isOver()) {
            markOver();
            stopTransfer();
            if (connection() != null) {
                connection().resumeAutoRead();
            }
            listener.resultEnded(complete);
        }
    }

    // ---- The end ----

    private void endWithBadResponse(JsonParseException e) {
        faults.fault(PeerFault.BAD_WORKER_ANSWER, host, e.getMessage());
        end(Outcome.ERROR, LoadReport.NONE, null);
        cancel();
    }

    private void end(Outcome outcome, LoadReport load, String text) {
        if (!isOver()) {
            markOver();
            stopTransfer();
            listener.ended(outcome, load, text);
        }
    }

    private void stopTransfer() {
        if (transfer != null) {
            transfer.stop();
        }
    }

    @Override
    public Outcome abort() {
        cancel();
        stopTransfer();
        if (isWritten()) {
            return Outcome.TIMED_OUT;
        }
        // A client that sends a long body slowly is no fault of the worker's.
        return transfer != null ? Outcome.CANCELLED : Outcome.CONNECT_FAILED;
    }
}
