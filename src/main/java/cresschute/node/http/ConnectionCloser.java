package cresschute.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Closes a client's connection without a reset that could destroy a response just written: a close
 * with received bytes unread makes the kernel reset the connection, and the client then loses what
 * it has not read yet.
 *
 * <p>Owns the decision that no further request is read from the connection, its half-close, and the
 * timers of both ways to close:
 *
 * <ul>
 *   <li>half-close: {@link #closeOutput} ends the sending side, input is read and discarded until
 *       the client ends its side too, {@value #HALF_CLOSE_MS} ms at the most;
 *   <li>lingering close: {@link #closeAfterLinger} discards the rest of an unwanted request for
 *       {@value #LINGER_MS} ms, then closes once every response is out.
 * </ul>
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class ConnectionCloser {

    /** How long a client may take to close its side after the half-close, ms. */
    static final long HALF_CLOSE_MS = 400;

    /** How long the rest of an unwanted request is read and discarded, ms. */
    static final long LINGER_MS = 1_000;

    private final ChannelHandlerContext context;
    private boolean discardingInput;
    private boolean outputClosed;

    /** A closer of a connection that is open and read as usual. */
    ConnectionCloser(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Whether what still arrives is discarded: no further request is read here. */
    boolean isDiscardingInput() {
        return discardingInput;
    }

    /** Reads no further request from this connection; what arrives is discarded. */
    void discardInput() {
        discardingInput = true;
    }

    /** Whether the sending side is closed. */
    boolean isOutputClosed() {
        return outputClosed;
    }

    /**
     * Closes the sending side, and the connection once the client has closed its side or {@value
     * #HALF_CLOSE_MS} ms later. Any number of times.
     */
    void closeOutput() {
        if (outputClosed || !context.channel().isActive()) {
            return;
        }
        outputClosed = true;
        if (context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
            context.executor().schedule(this::close, HALF_CLOSE_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /**
     * Closes the connection {@value #LINGER_MS} ms from now, or as many times that later as it
     * takes until all responses are written: requests read before the one at fault are answered
     * first.
     *
     * @param allWritten whether no response is due any more
     */
    void closeAfterLinger(BooleanSupplier allWritten) {
        context.executor()
                .schedule(
                        () -> {
                            if (allWritten.getAsBoolean()) {
                                close();
                            } else {
                                closeAfterLinger(allWritten);
                            }
                        },
                        LINGER_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Closes the connection now, whatever was written or is unread. */
    void close() {
        context.close();
    }
}
