package cresschute.node.http;

import cresschute.settings.ApplianceSettings.ClassBodies;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Receives one streamed request body from its client's connection, with backpressure: from {@link
 * #start} on the channel's autoRead is off, and a read is requested only while the body has
 * capacity for what it may bring. {@link #stop} turns autoRead on again.
 *
 * <p>Owns the channel's autoRead while it receives; the body itself is closed by its {@link
 * PendingResponse}. Call from the channel's event loop.
 */
final class StreamedBodyReceiver {

    private final Channel channel;
    private final Runnable submitRequest;
    private StreamedRequestBody body;
    private boolean receiving;

    /** Whether a read was requested and is not over. */
    private boolean readPending;

    private boolean readPaused;

    /** Since when no read is requested, by {@link System#nanoTime}; valid while paused. */
    private long readPausedSinceNs;

    /**
     * A receiver that has not started.
     *
     * @param submitRequest submits the body's request unless that is done: called once more has
     *     arrived than is kept for a further attempt, and where there is no capacity for more, as
     *     only an attempt frees some
     */
    StreamedBodyReceiver(Channel channel, Runnable submitRequest) {
        this.channel = channel;
        this.submitRequest = submitRequest;
    }

    /** Starts to receive into this body; the read that is under way is the first one. */
    void start(StreamedRequestBody into) {
        body = into;
        receiving = true;
        readPending = true;
        channel.config().setAutoRead(false);
    }

    /** Its body, from the start on. */
    StreamedRequestBody body() {
        return body;
    }

    /** Whether the body's end has not been read, and more of it is wanted. */
    boolean isReceiving() {
        return receiving;
    }

    /**
     * Takes in what was read.
     *
     * @param maxBytes the longest body of the request's class
     * @return false where the body is longer, or was given up
     */
    boolean receive(ByteBuf content, long maxBytes) {
        return body.collect(content, channel.alloc(), maxBytes);
    }

    /** The body's last byte was read. */
    void complete() {
        body.complete(channel.alloc());
    }

    /** A read of the channel is over: passes on what it brought, and requests the next one. */
    void readCompleted() {
        readPending = false;
        body.endPiece(channel.alloc());
        if (body.isBeyondSpool()) {
            submitRequest.run();
        }
        requestNextRead();
    }

    /** There may be capacity again; called by the body. */
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

    /** Whether what has arrived may be read at once: a read was requested and would be allowed. */
    boolean mayReadNow() {
        return readPending;
    }

    /** For how long no read was requested, for want of capacity, us; 0 while one is. */
    long readPausedUs() {
        return receiving && readPaused
                ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - readPausedSinceNs)
                : 0;
    }

    /** Whether its client sends less than {@link ClassBodies} ask for. */
    boolean isSenderTooSlow() {
        return body.isSenderTooSlow();
    }

    /** Receives no more; the channel is read as usual again. */
    void stop() {
        receiving = false;
        readPaused = false;
        channel.config().setAutoRead(true);
    }

    /** Receives no more, as the channel is closed. */
    void channelClosed() {
        receiving = false;
    }
}
