package cresschute.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * When the bytes of one client are read, and for how long a close of the client may have gone
 * unseen.
 *
 * <p>Reads pause while the client does not take the responses to earlier requests, so that these
 * cannot pile up. Owns that pause. One per connection; call from the channel's event loop, and not
 * while the channel is being read, unless stated otherwise.
 */
final class ClientReads {

    /** The output that a client may leave untaken while further requests of it are read, bytes. */
    private static final int MAX_UNSENT_BYTES = 64 * 1024;

    private static final long MAX_READ_ALL_NS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The time between two tries to read all bytes of a client that sends without a break, ns. */
    private static final long READ_ALL_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(40);

    private final Channel channel;
    private final PacedOutput output;
    private final BooleanSupplier mayRead;
    private boolean paused;

    /** Since when reads are paused, by {@link System#nanoTime}; valid only while they are. */
    private long pausedNs;

    /** When all arrived bytes were last tried to be read, by {@link System#nanoTime}. */
    private long readAllNs = System.nanoTime() - READ_ALL_PAUSE_NS;

    /**
     * Creates the reads of a connection.
     *
     * @param output the output of the connection
     * @param mayRead whether no streamed body waits for capacity
     */
    ClientReads(Channel channel, PacedOutput output, BooleanSupplier mayRead) {
        this.channel = channel;
        this.output = output;
        this.mayRead = mayRead;
    }

    /** Counts a request that was handled in this pass; called while the channel is being read. */
    void requestHandled() {
        final BoundedReads.PassHandle reads = BoundedReads.of(channel);
        if (reads != null) {
            reads.messageHandled();
        }
    }

    /** Pauses reads if the client leaves too much output untaken; called at the end of a pass. */
    void pauseIfOutputIsUnsent() {
        if (!paused && unsentBytes() > MAX_UNSENT_BYTES) {
            paused = true;
            pausedNs = System.nanoTime();
            channel.config().setAutoRead(false);
        }
    }

    /** Goes on reading once the client has taken enough; called when output was written. */
    void resumeIfOutputIsSent() {
        if (paused && unsentBytes() <= MAX_UNSENT_BYTES) {
            paused = false;
            channel.config().setAutoRead(true);
        }
    }

    /** The output that the client has not taken, bytes. */
    long unsentBytes() {
        final ChannelOutboundBuffer written = channel.unsafe().outboundBuffer();
        return output.queuedBytes() + (written == null ? 0 : written.totalPendingWriteBytes());
    }

    /**
     * For how long received bytes, or a close behind them, may have been unread, us; 0 if the last
     * pass has read all of them.
     */
    long unreadUs() {
        final BoundedReads.PassHandle reads = BoundedReads.of(channel);
        final long unreadUs = reads == null ? 0 : reads.unreadUs();
        return paused
                ? Math.max(unreadUs, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - pausedNs))
                : unreadUs;
    }

    /** Reads the bytes that have arrived, as one pass does, unless reads are paused. */
    void readNow() {
        if (mayReadNow()) {
            SocketReads.readNow(channel);
        }
    }

    private boolean mayReadNow() {
        return !paused && mayRead.getAsBoolean();
    }

    /**
     * Reads all bytes that have arrived, for a few passes at most, so that a close behind them is
     * seen. Has no effect for a while after a call that did not reach their end.
     */
    void readAllNow() {
        final long startNs = System.nanoTime();
        if (unreadUs() > 0 && startNs - readAllNs < READ_ALL_PAUSE_NS) {
            return;
        }
        readAllNs = startNs;
        do {
            readNow();
        } while (unreadUs() > 0
                && mayReadNow()
                && channel.isActive()
                && System.nanoTime() - startNs < MAX_READ_ALL_NS);
    }
}
