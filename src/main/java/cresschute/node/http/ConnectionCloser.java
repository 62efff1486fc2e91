package cresschute.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Closes a client's connection without losing a response that was just written. If a connection is
 * closed while received bytes are unread, the kernel resets it, and the client loses the bytes that
 * it has not read yet.
 *
 * <p>Owns the flag that no further request is read from the connection, its half-close, and the
 * timers of both ways to close:
 *
 * <ul>
 *   <li>half-close: {@link #closeOutput} shuts down the output; input is read and discarded until
 *       the client closes its side too, for at most {@value #HALF_CLOSE_MS} ms;
 *   <li>lingering close: {@link #closeAfterLinger} discards the rest of a rejected request for
 *       {@value #LINGER_MS} ms, then closes once every response is written.
 * </ul>
 *
 * <p>One per connection; call from the channel's event loop.
 */
final class ConnectionCloser {

    /** How long a client may take to close its side after the half-close, ms. */
    static final long HALF_CLOSE_MS = 400;

    /** How long the rest of a rejected request is read and discarded, ms. */
    static final long LINGER_MS = 1_000;

    private final ChannelHandlerContext context;
    private boolean discardingInput;
    private boolean outputClosed;

    /** Creates a closer for a connection that is open and whose requests are read. */
    ConnectionCloser(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Whether received bytes are discarded and no further request is read. */
    boolean isDiscardingInput() {
        return discardingInput;
    }

    /** Discards all bytes received from now on; no further request is read from this connection. */
    void discardInput() {
        discardingInput = true;
    }

    /** Whether the output was shut down. */
    boolean isOutputClosed() {
        return outputClosed;
    }

    /**
     * Shuts down the output, and closes the connection once the client has closed its side, or
     * {@value #HALF_CLOSE_MS} ms later. Further calls have no effect.
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
     * Closes the connection after {@value #LINGER_MS} ms if all responses are written, else checks
     * again after each further {@value #LINGER_MS} ms: requests that were read before the faulty
     * one are answered first.
     *
     * @param allWritten returns whether all responses are written
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

    /** Closes the connection immediately, even if output is unsent or input is unread. */
    void close() {
        context.close();
    }
}
