package cresschute.node.http;

import cresschute.flow.BodyBuffer;
import cresschute.flow.BufferBudget;
import cresschute.flow.TransferMonitor;
import cresschute.settings.NodeSettings.ClassBodies;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.TimeUnit;

/**
 * A body in transit from one peer to another: the body of a request, or a result. Received data is
 * copied from the codec's buffers into pieces, so that the memory in use equals the memory counted
 * even for very small chunks. {@link BodyTransfer}s write the pieces.
 *
 * <p>Owns its buffers and its reservation of the budget. Once it is retired, it closes both: at
 * once if the body is incomplete, else when its transfers have ended. Call from the event loop.
 */
abstract class StreamedBody {

    /**
     * The largest single read, bytes. It must fit into the smallest window together with the bytes
     * that were buffered before a body of unknown length turned out to be long.
     */
    private static final int MAX_READ_BYTES = 32 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** Memory overhead of a buffered piece, bytes. */
    private static final int PIECE_OVERHEAD_BYTES = 256;

    private static final int MAX_PIECE_COST = MAX_READ_BYTES + PIECE_OVERHEAD_BYTES;

    private final StreamedBodies owner;
    private final ClassBodies limits;
    private final BodyBuffer<ByteBuf> body;
    private final TransferMonitor senderMonitor;

    /** The piece that received data is copied into, or null. */
    private ByteBuf currentPiece;

    private long bytesRead;
    private boolean retired;

    /** Transfers that have not ended. */
    private int transfers;

    /**
     * Creates a body of which nothing was read.
     *
     * @param spoolBytes cost up to which the body is kept for further transfers, bytes
     */
    StreamedBody(
            StreamedBodies owner,
            BufferBudget.Reservation reservation,
            ClassBodies limits,
            long spoolBytes) {
        this.owner = owner;
        this.limits = limits;
        this.body = new BodyBuffer<>(reservation, spoolBytes, ByteBuf::release);
        this.senderMonitor = newMonitor();
    }

    /** The current time, us, from an arbitrary origin. */
    static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /**
     * The receive buffer allocator for connections that carry streamed bodies: one read returns at
     * most as many bytes as {@link #hasCapacity} requests capacity for.
     */
    static RecvByteBufAllocator boundedReads() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
    }

    final StreamedBodies owner() {
        return owner;
    }

    /** Creates a monitor of the sender or a receiver, with the limits of the request class. */
    final TransferMonitor newMonitor() {
        return new TransferMonitor(limits.minRateBytesPerS(), limits.stallUs(), nowUs());
    }

    // ---- Reading ----

    /** Number of bytes read so far. */
    final long bytesRead() {
        return bytesRead;
    }

    /** Total cost of the pieces read so far, bytes of the budget. */
    final long readCost() {
        return body.appendedCost();
    }

    /**
     * Adds data that was read.
     *
     * @param maxBytes the maximum length of the body
     * @return false if the body would be longer, or is no longer open
     */
    final boolean collect(ByteBuf content, ByteBufAllocator allocator, long maxBytes) {
        final int count = content.readableBytes();
        if (bytesRead + count > maxBytes || body.state() != BodyBuffer.State.OPEN) {
            return false;
        }
        bytesRead += count;
        senderMonitor.transferred(count, nowUs());
        while (content.isReadable()) {
            if (currentPiece == null) {
                currentPiece = allocator.directBuffer(MAX_READ_BYTES, MAX_READ_BYTES);
            }
            currentPiece.writeBytes(
                    content, Math.min(content.readableBytes(), currentPiece.writableBytes()));
            if (!currentPiece.isWritable()) {
                endPiece(allocator);
            }
        }
        return true;
    }

    /** Makes the data read so far available to the transfers. */
    final void endPiece(ByteBufAllocator allocator) {
        if (currentPiece == null) {
            return;
        }
        ByteBuf piece = currentPiece;
        currentPiece = null;
        if (body.state() != BodyBuffer.State.OPEN) {
            piece.release();
            return;
        }
        if (piece.readableBytes() < MAX_READ_BYTES / 2) {
            // Copied to a small buffer: the budget counts the capacity of a buffer, not its
            // content.
            piece = copyToSize(piece, allocator);
        }
        final int cost = piece.capacity() + PIECE_OVERHEAD_BYTES;
        body.credit(cost);
        body.append(piece, cost);
    }

    private static ByteBuf copyToSize(ByteBuf piece, ByteBufAllocator allocator) {
        final ByteBuf small = allocator.directBuffer(piece.readableBytes(), piece.readableBytes());
        small.writeBytes(piece);
        piece.release();
        return small;
    }

    /**
     * Whether there is capacity for another read. If not, {@link #capacityFreed} is called once
     * there may be.
     */
    final boolean hasCapacity() {
        final boolean fits = body.credit(MAX_PIECE_COST) >= MAX_PIECE_COST;
        senderMonitor.setActive(fits, nowUs());
        return fits;
    }

    /** Called when there may be capacity for another read. */
    abstract void capacityFreed();

    /** Notes that the last byte of the body was read. */
    final void complete(ByteBufAllocator allocator) {
        endPiece(allocator);
        body.complete();
    }

    /** Notes that the rest of the body will not be received. */
    final void abort() {
        body.abort();
    }

    /** Whether the sender is below the minimum rate while there is capacity to read. */
    final boolean isSenderTooSlow() {
        return body.state() == BodyBuffer.State.OPEN && senderMonitor.isTooSlow(nowUs());
    }

    // ---- Writing ----

    /** Whether another transfer could begin at the first byte. */
    public final boolean isReplayable() {
        return body.canReplay();
    }

    /**
     * Creates a transfer to a peer, which reads the body from its first byte. If that byte is no
     * longer available, the transfer notifies its listener of the abort when it is started.
     */
    final BodyTransfer newTransfer(BodyTransferListener listener) {
        transfers++;
        final BodyTransfer transfer = new BodyTransfer(this, listener);
        owner.add(transfer);
        return transfer;
    }

    /**
     * Opens a reader for a transfer; null if the first byte is no longer available.
     *
     * @param onChange called when there is more to send, or the body has ended
     */
    final BodyBuffer<ByteBuf>.Reader newReader(Runnable onChange) {
        return body.openReader(onChange).orElse(null);
    }

    /** Whether the rest of the body will not become available. */
    final boolean isLost() {
        return body.state() == BodyBuffer.State.ABORTED || body.state() == BodyBuffer.State.CLOSED;
    }

    /** Called when a transfer has written a piece, which may free capacity. */
    final void pieceSent() {
        if (body.state() == BodyBuffer.State.OPEN) {
            capacityFreed();
        }
    }

    /** Called when a transfer has ended. */
    final void transferEnded(BodyTransfer transfer) {
        owner.remove(transfer);
        if (--transfers == 0 && retired) {
            close();
        }
    }

    /**
     * Marks that no further transfer will begin. Current transfers continue if the body is
     * complete; otherwise the body is closed at once.
     */
    final void retire() {
        retired = true;
        if (transfers == 0 || body.state() != BodyBuffer.State.COMPLETE) {
            close();
        }
    }

    private void close() {
        if (currentPiece != null) {
            currentPiece.release();
            currentPiece = null;
        }
        body.close();
    }
}
