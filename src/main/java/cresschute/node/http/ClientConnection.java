package cresschute.node.http;

import cresschute.node.PeerFault;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * The channel handler of one client connection: its life cycle, and what the {@link
 * ClientConnectionRegistry} asks of it. The work is done by four parts, each with state of its own:
 *
 * <ul>
 *   <li>{@link RequestAssembler} reads requests and their bodies;
 *   <li>{@link RequestSubmitter} submits them to the life cycle and limits those in flight;
 *   <li>{@link ResponseQueue} writes the responses in the order of the requests;
 *   <li>{@link ConnectionCloser} closes the connection without losing a response.
 * </ul>
 *
 * <p>Opened and closed with its channel. A close by the client gives up all its requests. Call from
 * the channel's event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    private final ClientListener listener;
    private ChannelHandlerContext context;
    private ConnectionCloser closer;
    private RequestSubmitter submitter;
    private ResponseQueue responses;
    private RequestAssembler assembler;

    /** Whether a request was submitted here before. */
    private boolean submittedRequest;

    /** Since when the client is to act; bytes that make no whole request do not count. */
    private long waitingForClientSinceNs = System.nanoTime();

    ClientConnection(ClientListener listener) {
        this.listener = listener;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        closer = new ConnectionCloser(ctx);
        submitter = new RequestSubmitter(listener, () -> submittedRequest = true);
        responses = new ResponseQueue(this, submitter);
        assembler = new RequestAssembler(this, responses, submitter);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener.connections().opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listener.connections().closed(this);
        assembler.channelClosed();
        responses.abandon();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (!closer.isDiscardingInput()) {
            assembler.read(message);
        } else if (message instanceof LastHttpContent && responses.isEmpty()) {
            closer.closeOutput();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        assembler.readCompleted();
        ctx.fireChannelReadComplete();
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

    /** The first bytes of a request arrived. */
    void requestStarted() {
        if (responses.isEmpty() && submittedRequest) {
            waitingForClientSinceNs = System.nanoTime();
        }
    }

    /** All responses that can be written are. */
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

    /** Whether the request that is being read is submitted, and owed a response. */
    boolean hasSubmittedCurrent() {
        return assembler.hasSubmittedCurrent();
    }

    /** Whether nothing is read, due or being written here. */
    boolean isIdle() {
        final ChannelOutboundBuffer written = context.channel().unsafe().outboundBuffer();
        return responses.isEmpty()
                && !assembler.isReading()
                && written != null
                && written.isEmpty();
    }

    /** Whether a request that could be used has arrived here before. */
    boolean hasSubmittedRequest() {
        return submittedRequest;
    }

    /** Whether it may be closed to stay within the limit: the client is to act, not the node. */
    boolean isEvictable() {
        return isIdle() || (!submittedRequest && assembler.isReading() && responses.size() == 1);
    }

    /**
     * Whether the client alone is waited for: for the rest of a request, for the next one, or to
     * read its response.
     */
    boolean isWaitingForClient() {
        return responses.isEmpty() || assembler.isReading();
    }

    /** For how long the client has been the one to act, ns. */
    long waitedForClientNs() {
        return System.nanoTime() - waitingForClientSinceNs;
    }

    // ---- Called by the registry, the sweep and responses ----

    /**
     * Reads what has arrived until now, unless a streamed body has no capacity. Not to be called
     * while this connection is being read.
     */
    void readNow() {
        if (assembler.mayReadNow()) {
            SocketReads.readNow(context.channel());
        }
    }

    /** Gives up the streamed body that is being received where its client sends too little. */
    void checkSenderRate() {
        assembler.checkSenderRate();
    }

    /**
     * Closes this connection if it still is idle once all that has arrived is read: a request that
     * is there already is submitted, and closes it with its response.
     */
    void closeIfIdle() {
        readNow();
        if (isIdle() && !closer.isOutputClosed()) {
            closer.discardInput();
            closer.closeOutput();
        }
    }

    /** Closes this connection after a while, once all responses are written. */
    void closeAfterLinger() {
        closer.closeAfterLinger(responses::isEmpty);
    }

    /** Closes this connection now. */
    void close() {
        closer.close();
    }
}
