package cresschute.node.http;

import cresschute.flow.BodyBuffer;
import cresschute.flow.TransferMonitor;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;

/**
 * Writes a streamed body to one peer with backpressure, no faster than the peer's connection
 * accepts it. Unwritten bytes stay in the body, where they count against the buffer budget.
 *
 * <p>Created by {@link StreamedBody#newTransfer} and started on a channel to which the head was
 * written. It ends when its {@link BodyTransferListener} is notified of an end, or at {@link
 * #stop}. If a write fails, it closes the channel. Call from the event loop.
 */
final class BodyTransfer {

    /** The minimum time between two progress notifications, us. */
    private static final long PROGRESS_INTERVAL_US = 1_000_000;

    /** Earlier than any time, us, so that the first written piece is always notified. */
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private final StreamedBody body;
    private final BodyTransferListener listener;

    /** Null if the body can no longer be sent from its first byte. */
    private final BodyBuffer<ByteBuf>.Reader reader;

    private final TransferMonitor peerMonitor;
    private Channel channel;

    /** The number of writes that are not completed. */
    private int pendingWrites;

    private boolean lastWritten;
    private long lastNotifiedUs = NEVER_US;
    private boolean writing;
    private boolean ended;

    BodyTransfer(StreamedBody body, BodyTransferListener listener) {
        this.body = body;
        this.listener = listener;
        this.peerMonitor = body.newMonitor();
        this.reader = body.newReader(this::bodyChanged);
    }

    /** Starts writing to a channel to which the head was written. */
    void start(Channel to) {
        channel = to;
        resume();
    }

    private void bodyChanged() {
        if (channel == null) {
            return;
        }
        if (isAborted()) {
            // Deferred: the change may come from code that is ending another attempt of the same
            // request, and this attempt must not end within that call.
            channel.eventLoop().execute(this::resume);
        } else {
            resume();
        }
    }

    private boolean isAborted() {
        return !lastWritten && (reader == null || !reader.isAttached() || body.isLost());
    }

    /** Writes the available pieces as long as the channel is writable. */
    void resume() {
        if (channel == null || ended || writing) {
            return;
        }
        if (isAborted()) {
            stop();
            listener.transferAborted();
            return;
        }
        writing = true;
        writePieces();
        if (!ended && !lastWritten && reader.hasReadAll()) {
            lastWritten = true;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(this::lastPieceWritten);
        }
        writing = false;
        peerMonitor.setActive(pendingWrites > 0, StreamedBody.nowUs());
    }

    private void writePieces() {
        while (channel.isWritable() && !ended) {
            final ByteBuf piece = reader.next();
            if (piece == null) {
                return;
            }
            pendingWrites++;
            final int count = piece.readableBytes();
            channel.writeAndFlush(new DefaultHttpContent(piece.retainedDuplicate()))
                    .addListener(write -> pieceWritten(write, count));
        }
    }

    private void pieceWritten(Future<? super Void> write, int count) {
        pendingWrites--;
        if (ended) {
            return;
        }
        if (!write.isSuccess()) {
            channel.close();
            return;
        }
        peerMonitor.transferred(count, StreamedBody.nowUs());
        peerMonitor.setActive(pendingWrites > 0, StreamedBody.nowUs());
        notifyProgress();
        reader.acknowledge();
        body.pieceSent();
        resume();
    }

    private void lastPieceWritten(Future<? super Void> write) {
        if (ended) {
            return;
        }
        stop();
        if (write.isSuccess()) {
            listener.transferCompleted();
        } else {
            channel.close();
        }
    }

    private void notifyProgress() {
        final long nowUs = StreamedBody.nowUs();
        if (nowUs - lastNotifiedUs >= PROGRESS_INTERVAL_US) {
            lastNotifiedUs = nowUs;
            listener.transferProgressed();
        }
    }

    /**
     * Stops the transfer if the peer reads too slowly, and notifies the listener of that.
     * Otherwise, notifies progress if the transfer waits for the body's sender. Called by {@link
     * StreamedBodies#sweep}, a few times a second.
     */
    void checkPeerRate() {
        if (!ended && peerMonitor.isTooSlow(StreamedBody.nowUs())) {
            body.owner()
                    .reportTooSlow(String.valueOf(channel.remoteAddress()), "it read too slowly");
            stop();
            listener.peerTooSlow();
        } else if (!ended && channel != null && pendingWrites == 0) {
            notifyProgress();
        }
    }

    /** Stops writing without a notification. Further calls have no effect. */
    void stop() {
        if (!ended) {
            ended = true;
            if (reader != null) {
                reader.detach();
            }
            body.transferEnded(this);
        }
    }
}
