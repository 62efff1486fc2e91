package cresschute.node.http;

import cresschute.node.PeerFault;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;

/**
 * The channel handler of one client connection. It handles the channel's events and answers the
 * queries of the {@link ClientConnectionRegistry}. Four parts do the work, each with state of its
 * own:
 *
 * <ul>
 *   <li>{@link RequestAssembler} reads requests and their bodies;
 *   <li>{@link RequestSubmitter} submits them to the {@link cresschute.node.RequestLifecycle} and
 *       limits the number in flight;
 *   <li>{@link ResponseQueue} writes the responses in the order of the requests;
 *   <li>{@link ConnectionCloser} closes the connection without losing a response.
 * </ul>
 *
 * <p>Opens and closes with its channel. When the client closes the connection, all its requests are
 * abandoned. Call from the channel's event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    private final ClientListener listener;
    private final ClientRequestDecoder decoder;
    private PacedOutput output;
    private ChannelHandlerContext context;
    private ConnectionCloser closer;
    private RequestSubmitter submitter;
    private ResponseQueue responses;
    private RequestAssembler assembler;
    private UnfinishedInput input;
    private ClientReads reads;

    /** Whether the channel is being read, so that responses are flushed at the end of the read. */
    private boolean isBeingRead;

    /** Whether this connection has submitted a request to the request lifecycle. */
    private boolean submittedRequest;

    /** Whether the memory of this connection is reserved. */
    private boolean hasMemory;

    /**
     * Since when the node has waited for the client, by {@link System#nanoTime}. Bytes of an
     * incomplete request do not reset it.
     */
    private long waitingForClientSinceNs = System.nanoTime();

    /**
     * Creates the handler of a connection.
     *
     * @param decoder decodes its requests
     */
    ClientConnection(ClientListener listener, ClientRequestDecoder decoder) {
        this.listener = listener;
        this.decoder = decoder;
    }

    /** Sets the output of this connection; call before it is added to the pipeline. */
    void setOutput(PacedOutput newOutput) {
        output = newOutput;
    }

    /** Called when the client has taken output that had to wait. */
    void outputTaken() {
        reads.resumeIfOutputIsSent();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        closer = new ConnectionCloser(ctx);
        submitter = new RequestSubmitter(listener, () -> submittedRequest = true);
        responses = new ResponseQueue(this, submitter);
        input =
                new UnfinishedInput(
                        listener.requestMemory(), this::giveUpInput, this::hasTakenRequests);
        assembler = new RequestAssembler(this, responses, submitter);
        reads = new ClientReads(ctx.channel(), output, assembler::mayReadNow);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        hasMemory = listener.requestMemory().reserveConnection();
        listener.connections().opened(this);
        if (!hasMemory) {
            listener.reportMemoryExceeded("closing a new connection");
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listener.connections().closed(this);
        assembler.channelClosed();
        responses.abandon();
        input.clear();
        if (hasMemory) {
            hasMemory = false;
            listener.requestMemory().releaseConnection();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        isBeingRead = true;
        if (!closer.isDiscardingInput()) {
            assembler.read(message);
        } else if (message instanceof LastHttpContent) {
            context.flush();
            if (isAllWritten()) {
                closer.closeOutput();
            }
        }
        if (message instanceof LastHttpContent) {
            reads.requestHandled();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        isBeingRead = false;
        if (!closer.isDiscardingInput() && !input.setHeadBytes(decoder.heldBytes())) {
            listener.reportMemoryExceeded("rejecting a client's request");
            giveUpInput();
        }
        assembler.readCompleted();
        ctx.flush();
        if (!isReceivingStreamedBody()) {
            reads.pauseIfOutputIsUnsent();
        }
        ctx.fireChannelReadComplete();
    }

    private boolean isAllWritten() {
        return responses.isEmpty() && reads.unsentBytes() == 0;
    }

    /** Hands a message to the channel, and flushes it at once or at the end of the current read. */
    ChannelFuture write(Object message) {
        return isBeingRead ? context.write(message) : context.writeAndFlush(message);
    }

    /** The memory of the request that is being received. */
    UnfinishedInput input() {
        return input;
    }

    /** Called when the head of the current request is not needed any more. */
    void headReleased() {
        decoder.headReleased();
        input.setHeadBytes(0);
    }

    /** When this connection is read. */
    ClientReads reads() {
        return reads;
    }

    private boolean hasTakenRequests() {
        return responses.size() > (assembler.isReading() ? 1 : 0);
    }

    /**
     * Rejects the request that is being received, and drops the rest of it. Earlier requests are
     * answered before that; then the connection is closed.
     */
    private void giveUpInput() {
        if (assembler.isReceivingStreamedBody()) {
            return;
        }
        if (assembler.isReading() || decoder.isInHead()) {
            assembler.rejectUnfinished();
        }
        decoder.discard();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.writabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            ctx.close();
            return;
        }
        listener.lifecycle().faults().fault(PeerFault.CLIENT_CONNECTION, null, cause.toString());
        closer.discardInput();
        responses.failAll();
        closeAfterLinger();
    }

    // ---- The parts ----

    ClientListener listener() {
        return listener;
    }

    ChannelHandlerContext context() {
        return context;
    }

    ConnectionCloser closer() {
        return closer;
    }

    ResponseQueue responses() {
        return responses;
    }

    /** The address of the client's host, without the port. */
    String clientHost() {
        return ((InetSocketAddress) context.channel().remoteAddress())
                .getAddress()
                .getHostAddress();
    }

    /** The client's address and port, for the log. */
    String clientAddress() {
        return String.valueOf(context.channel().remoteAddress());
    }

    /** Called when the head of a request was read. */
    void requestStarted() {
        if (responses.isEmpty() && submittedRequest) {
            waitingForClientSinceNs = System.nanoTime();
        }
    }

    /** Called when every response that can be written has been written. */
    void responsesFlushed() {
        waitingForClientSinceNs = System.nanoTime();
        listener.connections().responseWritten();
    }

    // ---- State ----

    /** Whether a streamed result is being written to the client. */
    boolean isStreaming() {
        return responses.isStreaming();
    }

    /** Whether a streamed body is being received from the client. */
    boolean isReceivingStreamedBody() {
        return assembler.isReceivingStreamedBody();
    }

    /** Whether the request that is being read is already submitted and needs a response. */
    boolean hasSubmittedCurrent() {
        return assembler.hasSubmittedCurrent();
    }

    /**
     * Whether no request is being read, no response is due, no output is unsent and all received
     * bytes were read.
     */
    boolean isIdle() {
        return responses.isEmpty()
                && !assembler.isReading()
                && context.channel().unsafe().outboundBuffer() != null
                && reads.unsentBytes() == 0
                && reads.unreadUs() == 0;
    }

    /** Adds the numbers of the classes of the requests that are queued here. */
    void addQueuedClassesTo(Set<Integer> numbers) {
        submitter.addQueuedClassesTo(numbers);
    }

    /** Whether this connection has submitted a request to the request lifecycle. */
    boolean hasSubmittedRequest() {
        return submittedRequest;
    }

    /**
     * Whether this connection may be closed to stay within the connection limit: it is idle, or has
     * submitted no request and waits for the rest of one.
     */
    boolean isEvictable() {
        return context.channel().isActive()
                && (isIdle()
                        || (!submittedRequest && assembler.isReading() && responses.size() == 1));
    }

    /**
     * Whether the node waits only for the client: for the rest of a request, for the next one, or
     * for the client to read its response.
     */
    boolean isWaitingForClient() {
        return responses.isEmpty() || assembler.isReading();
    }

    /** For how long the node has waited for the client, ns. */
    long waitedForClientNs() {
        return System.nanoTime() - waitingForClientSinceNs;
    }

    // ---- Called by the registry, the sweep and responses ----

    /** Aborts the streamed body that is being received if its client sends too slowly. */
    void checkSenderRate() {
        assembler.checkSenderRate();
    }

    /**
     * Reads the bytes that have arrived, then closes this connection if it is still idle. A request
     * that had arrived is submitted instead, and its response closes the connection.
     */
    void closeIfIdle() {
        reads.readNow();
        if (isIdle() && !closer.isOutputClosed()) {
            closer.discardInput();
            closer.closeOutput();
        }
    }

    /** Closes this connection after a linger time, once all responses are written. */
    void closeAfterLinger() {
        closer.closeAfterLinger(this::isAllWritten);
    }

    /**
     * Ends the request or response that the client takes too long for. Requests that were taken are
     * answered first; without any, the connection is closed immediately.
     */
    void endSlowRequest() {
        if (hasTakenRequests() && assembler.isReading()) {
            giveUpInput();
        } else {
            close();
        }
    }

    /** Closes this connection immediately. */
    void close() {
        closer.close();
    }
}
