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
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * An attempt of a request at one worker. It sends the request as received from the client and reads
 * a response of lines ({@link ProgressLine}), which a streamed result may follow.
 *
 * <p>An attempt ends once: by a line, by the status of the response, by a broken connection, by the
 * failure of the body's transfer or by {@link #abort}. Each end but {@code abort} is reported to
 * its {@link AttemptListener}. If the connection breaks before the response states the outcome, the
 * outcome depends on the last byte of the request: until it is written the job cannot have run,
 * afterwards it may have.
 *
 * <p>Owns the transfer of a streamed body, and the connection's autoRead while it receives a
 * streamed result. Call from the event loop.
 */
final class HttpAttempt extends HttpExchange
        implements AttemptCall,
                BodyTransferListener,
                StreamedResponseBody.Source,
                LineMemory.Waiter {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String NOT_RUN_VALUE = "1";
    private static final String JOB_STATE_DONE = "done";

    private final String host;
    private final String requestId;

    /** The request until it is encoded; then null, so that its body is not kept in memory. */
    private RequestContent content;

    private final AttemptListener listener;
    private final RateLimitedLog faults;

    /** Writes a streamed body; null if the request is sent whole. */
    private final BodyTransfer transfer;

    private final LineMemory lineMemory;
    private ProgressLineReader lineReader;

    /** Received parts of a line that wait for memory; empty while the worker is read. */
    private final Deque<ByteBuf> heldParts = new ArrayDeque<>();

    /** The load report in the response's header, or {@link LoadReport#NONE}. */
    private LoadReport headerLoad = LoadReport.NONE;

    /** The outcome given by the response's status; null if its lines give it. */
    private Outcome statusOutcome;

    /** Whether the response being read is a duplicate of the previous exchange's response. */
    private boolean staleResponse;

    /** The streamed result; null before its first byte and if there is none. */
    private StreamedResponseBody result;

    /** Whether a requested read of the result has not completed yet. */
    private boolean readPending;

    /**
     * Creates an attempt that has not begun.
     *
     * @param host the worker's address, as in the Host header
     * @param lineMemory limits the memory of the lines of all attempts
     */
    HttpAttempt(
            String host,
            RequestContent content,
            AttemptListener listener,
            RateLimitedLog faults,
            LineMemory lineMemory) {
        this.host = host;
        this.requestId = content.requestId();
        this.content = content;
        this.listener = listener;
        this.faults = faults;
        this.lineMemory = lineMemory;
        this.lineReader = new ProgressLineReader(lineMemory.quota());
        this.transfer =
                content.longBody() instanceof StreamedRequestBody body
                        ? body.newTransfer(this)
                        : null;
    }

    // ---- The request ----

    @Override
    HttpRequest request() {
        final HttpRequest request =
                AttemptRequestEncoder.encode(host, content, listener.remainingUs());
        content = null;
        return request;
    }

    @Override
    String requestId() {
        return requestId;
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

    @Override
    public boolean isPartlyWritten() {
        return isBegun() && !isWritten() && !isOver() && transfer == null;
    }

    /**
     * Reports progress 0 at each call. The first call, when the first bytes are written, reports
     * the start of the job: from then on the worker holds a slot for it. Otherwise a job whose
     * client sends a long body slowly would look like one that its worker does not start.
     */
    @Override
    public void transferProgressed() {
        listener.progressed(0);
    }

    @Override
    public void transferCompleted() {
        markWritten();
    }

    /**
     * Ends the attempt as cancelled: the worker is not at fault, and the job cannot have run,
     * because the last byte of the request was never written. If a result has begun, the end of the
     * attempt is reported already, and only the result is aborted.
     */
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
            // A worker may begin its result before it has received all of the body; the end of the
            // attempt is reported already.
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

    /** The outcome given by the status; null if the lines give it. */
    private static Outcome outcomeOf(HttpResponse response) {
        final int status = response.status().code();
        if (status == OK) {
            return null;
        }
        // Only the worker's X-Not-Run header proves that the job did not run: a proxy may send a
        // 503 as well.
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
        } else if (heldParts.isEmpty() && lineReader.add(chunk, lineMemory.isPermitted(this))) {
            readLines();
        } else if (lineReader.isTooLongWith(chunk.readableBytes()) || !lineReader.mayWait()) {
            lineMemory.quota().countRefused();
            endWithBadResponse(
                    new JsonParseException(
                            "a line is longer than 256 KiB, or there is no memory for it"));
        } else {
            holdUntilMemoryAvailable(chunk);
        }
    }

    // ---- Waiting for memory ----

    private void holdUntilMemoryAvailable(ByteBuf chunk) {
        final boolean isFirst = heldParts.isEmpty();
        heldParts.add(chunk.retain());
        if (isFirst) {
            faults.fault(
                    PeerFault.LINE_MEMORY_EXCEEDED, host, "its line waits for those of others");
            connection().stopAutoRead();
            lineMemory.await(this);
        }
    }

    @Override
    public void memoryAvailable() {
        addHeldParts();
        if (!isOver() && result == null && connection() != null) {
            connection().resumeAutoRead();
        }
    }

    /** Goes on with the parts of a line that wait for memory, whether or not there is any. */
    private void addHeldParts() {
        while (!heldParts.isEmpty() && !isOver() && result == null) {
            final ByteBuf part = heldParts.poll();
            try {
                if (lineReader.add(part, true)) {
                    readLines();
                } else {
                    endWithBadResponse(new JsonParseException("a line is longer than 256 KiB"));
                }
            } finally {
                part.release();
            }
        }
    }

    private void dropHeldParts() {
        heldParts.forEach(ByteBuf::release);
        heldParts.clear();
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

    /** The load report of the line, or that of the header if the line has none. */
    @SuppressWarnings("ReferenceEquality") // The NONE instance marks a line without a report.
    private LoadReport latestLoad(ProgressLine line) {
        return line.load() == LoadReport.NONE ? headerLoad : line.load();
    }

    private void lineReceived(String text) {
        try {
            final ProgressLine line = ProgressLine.parse(text, requestId);
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
        addHeldParts();
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
        lineReader.close();
        lineReader = new ProgressLineReader(lineMemory.quota());
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
        addHeldParts();
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
            // The read in progress counts as the first requested one.
            readPending = true;
            connection().stopAutoRead();
        } else if (stream == null) {
            endWithBadResponse(
                    new JsonParseException(
                            "a streamed result for a request class without streamed results"));
        } else {
            cancel();
        }
    }

    private void forwardToResult(ByteBuf chunk) {
        final long maxBytes = result.hasStatedLength() ? result.statedLength() : Long.MAX_VALUE;
        if (!result.collect(chunk, connection().allocator(), maxBytes)) {
            faults.fault(
                    PeerFault.BAD_WORKER_ANSWER,
                    host,
                    "result exceeds its stated length; closing the connection");
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
        faults.fault(
                PeerFault.BODY_TOO_SLOW,
                host,
                "worker sends the result too slowly; closing the connection");
        abortResult();
    }

    /**
     * Whether the result is complete at the end of the response, by its trailer or by its length.
     */
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

    /** A connection that is still being established keeps this attempt until it times out. */
    @Override
    void releaseMemory() {
        content = null;
        dropHeldParts();
        lineReader.close();
        lineMemory.ended(this);
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
        // The worker is not at fault if a client sends a long body slowly.
        return transfer != null ? Outcome.CANCELLED : Outcome.CONNECT_FAILED;
    }
}
