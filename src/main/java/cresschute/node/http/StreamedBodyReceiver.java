package cresschute.node.http;

import cresschute.settings.NodeSettings.ClassBodies;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Receives one streamed request body from its client's connection with backpressure. {@link #start}
 * turns the channel's autoRead off; a read is then requested only while the body has capacity for
 * the bytes of one read. {@link #stop} turns autoRead on again.
 *
 * <p>Owns the channel's autoRead option while it receives. The body's {@link PendingResponse}
 * closes the body itself. Call from the channel's event loop.
 */
final class StreamedBodyReceiver {

    private final Channel channel;
    private final Runnable submitRequest;
    private StreamedRequestBody body;
    private boolean receiving;

    /** Whether a read was requested and has not completed. */
    private boolean readPending;

    private boolean readPaused;

    /**
     * Since when no read was requested, by {@link System#nanoTime}; valid only while {@link
     * #readPaused}.
     */
    private long readPausedSinceNs;

    /**
     * Creates a receiver that is not started.
     *
     * @param submitRequest submits the body's request unless that has happened. Called once more
     *     bytes have arrived than are kept for a further attempt, and when there is no capacity for
     *     more bytes, as only an attempt frees capacity
     */
    StreamedBodyReceiver(Channel channel, Runnable submitRequest) {
        this.channel = channel;
        this.submitRequest = submitRequest;
    }

    /** Starts to receive into this body. The read in progress counts as the first one. */
    void start(StreamedRequestBody into) {
        body = into;
        receiving = true;
        readPending = true;
        channel.config().setAutoRead(false);
    }

    /** The body, once {@link #start} was called. */
    StreamedRequestBody body() {
        return body;
    }

    /** Whether the receiver is started and not stopped. */
    boolean isReceiving() {
        return receiving;
    }

    /**
     * Adds received bytes to the body.
     *
     * @param maxBytes the maximum body size of the request's class, bytes
     * @return false if the body is longer, or was aborted
     */
    boolean receive(ByteBuf content, long maxBytes) {
        return body.collect(content, channel.alloc(), maxBytes);
    }

    /** Called when the body's last byte was read. */
    void complete() {
        body.complete(channel.alloc());
    }

    /**
     * Called when a read of the channel has ended: passes on the bytes read, and requests the next
     * read.
     */
    void readCompleted() {
        readPending = false;
        body.endPiece(channel.alloc());
        if (body.isBeyondSpool()) {
            submitRequest.run();
        }
        requestNextRead();
    }

    /** Called by the body when it may have capacity again. */
    void capacityFreed() {
        if (receiving && !readPending) {
            requestNextRead();
        }
    }

    private void requestNextRead() {
        if (!receiving) {
            return;
        }
        if (body.hasCapacity()) {
            readPending = true;
            readPaused = false;
            channel.read();
        } else {
            if (!readPaused) {
                readPaused = true;
                readPausedSinceNs = System.nanoTime();
            }
            submitRequest.run();
        }
    }

    /** Whether received bytes may be read at once, i.e. a read is already requested. */
    boolean mayReadNow() {
        return readPending;
    }

    /** How long reading has been paused for lack of capacity, us; 0 while it is not paused. */
    long readPausedUs() {
        return receiving && readPaused
                ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - readPausedSinceNs)
                : 0;
    }

    /** Whether the client sends more slowly than the minimum rate of {@link ClassBodies}. */
    boolean isSenderTooSlow() {
        return body.isSenderTooSlow();
    }

    /** Stops receiving, and turns the channel's autoRead on again. */
    void stop() {
        receiving = false;
        readPaused = false;
        channel.config().setAutoRead(true);
    }

    /** Stops receiving because the channel is closed. */
    void channelClosed() {
        receiving = false;
    }
}
