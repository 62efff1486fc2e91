package cresschute.node.http;

import cresschute.flow.BodyBuffer;
import cresschute.flow.BufferBudget;
import cresschute.flow.TransferMonitor;
import cresschute.settings.ApplianceSettings.ClassBodies;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.TimeUnit;

/**
 * A body on its way from one peer to another, a request's or a result. It is read in pieces that
 * are copied from what the codec passes on, so that the memory held is the memory counted however
 * small the chunks, and written by {@link BodyTransfer}s.
 *
 * <p>Owns its buffers and its reservation of the budget, and closes both once it is retired and its
 * transfers have ended. Call from the event loop.
 */
abstract class StreamedBody {

    /**
     * The most that is read at a time, bytes. Together with what a short body may have grown to
     * before it was known to be long, it must fit into the least window.
     */
    private static final int MAX_READ_BYTES = 32 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** What holding a piece takes beside its bytes. */
    private static final int PIECE_OVERHEAD_BYTES = 256;

    private static final int MAX_PIECE_COST = MAX_READ_BYTES + PIECE_OVERHEAD_BYTES;

    private final StreamedBodies owner;
    private final ClassBodies limits;
    private final BodyBuffer<ByteBuf> body;
    private final TransferMonitor senderMonitor;

    /** The piece that is being filled, or null. */
    private ByteBuf currentPiece;

    private long bytesRead;
    private boolean retired;

    /** Transfers that have not ended. */
    private int transfers;

    /**
     * A body of which nothing is read.
     *
     * @param spoolBytes what is kept of it for a further transfer
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

    /** The present, us, from an arbitrary origin. */
    static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /**
     * For connections on which streamed bodies arrive: one read brings no more than {@link
     * #hasCapacity} asks capacity for.
     */
    static RecvByteBufAllocator boundedReads() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
    }

    final StreamedBodies owner() {
        return owner;
    }

    /** A monitor of one side of this body, by its class's limits. */
    final TransferMonitor newMonitor() {
        return new TransferMonitor(limits.minRateBytesPerS(), limits.stallUs(), nowUs());
    }

    // ---- Reading ----

    /** Bytes that were read. */
    final long bytesRead() {
        return bytesRead;
    }

    /** What was read so far costs of the budget, all together, bytes. */
    final long readCost() {
        return body.appendedCost();
    }

    /**
     * Takes in what was read.
     *
     * @param maxBytes the longest that the body may be
     * @return false where it is longer, or no more may come
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

    /** Passes what was read so far on to the transfers. */
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
            // A large buffer must not be held for a few bytes: the budget counts capacities.
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
     * Whether there is capacity for another read. Where there is none, {@link #capacityFreed} is
     * called once there may be some.
     */
    final boolean hasCapacity() {
        final boolean fits = body.credit(MAX_PIECE_COST) >= MAX_PIECE_COST;
        senderMonitor.setActive(fits, nowUs());
        return fits;
    }

    /** There may be capacity for another read. */
    abstract void capacityFreed();

    /** Its last byte was read. */
    final void complete(ByteBufAllocator allocator) {
        endPiece(allocator);
        body.complete();
    }

    /** No more of it will come, and it is incomplete. */
    final void abort() {
        body.abort();
    }

    /** Whether its sender, while it is to send, sends less than the least rate. */
    final boolean isSenderTooSlow() {
        return body.state() == BodyBuffer.State.OPEN && senderMonitor.isTooSlow(nowUs());
    }

    // ---- Writing ----

    /** Whether a further transfer could begin at its first byte. */
    public final boolean isReplayable() {
        return body.canReplay();
    }

    /** A transfer of it to a peer; whether it can still begin shows when it is started. */
    final BodyTransfer newTransfer(BodyTransferListener listener) {
        transfers++;
        final BodyTransfer transfer = new BodyTransfer(this, listener);
        owner.add(transfer);
        return transfer;
    }

    /**
     * A reader for a transfer, or null where none can begin at the first byte.
     *
     * @param onChange called when there is more to send, or no more will come
     */
    final BodyBuffer<ByteBuf>.Reader newReader(Runnable onChange) {
        return body.openReader(onChange).orElse(null);
    }

    /** Whether the rest of it will never come. */
    final boolean isLost() {
        return body.state() == BodyBuffer.State.ABORTED || body.state() == BodyBuffer.State.CLOSED;
    }

    /** A transfer has written a piece, which may free capacity. */
    final void pieceSent() {
        if (body.state() == BodyBuffer.State.OPEN) {
            capacityFreed();
        }
    }

    /** A transfer writes no more. */
    final void transferEnded(BodyTransfer transfer) {
        owner.remove(transfer);
        if (--transfers == 0 && retired) {
            close();
        }
    }

    /**
     * No further transfer will begin. Transfers under way go on where all of the body is there;
     * otherwise the body is closed now.
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
