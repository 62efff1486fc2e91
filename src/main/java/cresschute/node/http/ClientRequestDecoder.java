package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes the requests of one client connection. It keeps the {@link UsedHeaders} alone, and tells
 * how much memory the request that is being decoded takes.
 *
 * <p>One per connection; call from the event loop.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {

    private final LatestHeaders latest;
    private ChannelHandlerContext context;
    private int initialLineBytes;
    private boolean inHead;
    private boolean discarding;

    ClientRequestDecoder() {
        this(new LatestHeaders());
    }

    private ClientRequestDecoder(LatestHeaders latest) {
        super(
                new HttpDecoderConfig()
                        .setHeadersFactory(latest)
                        .setTrailersFactory(new DroppedTrailers()));
        this.latest = latest;
        setCumulator(ClientRequestDecoder::cumulate);
    }

    /** Appends to the undecoded bytes; an empty message moves them into the heap. */
    private static ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf in) {
        if (in.isReadable() || !undecoded.isDirect()) {
            return MERGE_CUMULATOR.cumulate(allocator, undecoded, in);
        }
        final ByteBuf copy = Unpooled.buffer(undecoded.readableBytes());
        copy.writeBytes(undecoded, undecoded.readerIndex(), undecoded.readableBytes());
        undecoded.release();
        in.release();
        return copy;
    }

    /** At the end of a read, what is left undecoded waits in the heap, where it is counted. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (actualReadableBytes() > 0 && internalBuffer().isDirect()) {
            channelRead(ctx, Unpooled.EMPTY_BUFFER);
        }
        super.channelReadComplete(ctx);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        context = ctx;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        initialLineBytes = initialLine[1].length();
        inHead = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (discarding) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        final int before = out.size();
        super.decode(ctx, buffer, out);
        if (out.size() > before) {
            inHead = false;
        }
    }

    /** Whether bytes of a request have come whose head is not complete yet. */
    boolean isInHead() {
        return !discarding && (inHead || actualReadableBytes() > 0);
    }

    /** The estimated heap of undecoded bytes and of the latest head, bytes. */
    int heldBytes() {
        return (actualReadableBytes() > 0 ? internalBuffer().capacity() : 0) + headBytes();
    }

    private int headBytes() {
        return initialLineBytes + latest.keptBytes();
    }

    /** Called when the latest head is not needed any more. */
    void headReleased() {
        initialLineBytes = 0;
        latest.clear();
    }

    /** Drops the undecoded bytes and all bytes that come from now on. */
    void discard() {
        discarding = true;
        headReleased();
        if (actualReadableBytes() > 0) {
            // Makes the superclass decode once more, which drops and releases its buffer.
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    /** Creates the fields of each head, and holds those of the latest. */
    private static final class LatestHeaders implements HttpHeadersFactory {

        private UsedHeaders headers;

        private int keptBytes() {
            return headers == null ? 0 : headers.keptBytes();
        }

        private void clear() {
            headers = null;
        }

        @Override
        public HttpHeaders newHeaders() {
            headers = new UsedHeaders();
            return headers;
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    /** No trailer field of a request is used. */
    private static final class DroppedTrailers implements HttpHeadersFactory {

        @Override
        public HttpHeaders newHeaders() {
            return new UsedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders();
        }
    }
}
