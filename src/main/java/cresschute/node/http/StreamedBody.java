package cresschute.node.http;

import cresschute.flow.Body;
import cresschute.flow.Budget;
import cresschute.flow.Pace;
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
 * <p>Owns its buffers and its account of the budget, and closes both once it is retired and its
 * transfers have ended. Call from the event loop.
 */
abstract class StreamedBody {

    /**
     * The most that is read at a time, bytes. Together with what a short body may have grown to
     * before it was known to be long, it must fit into the least window.
     */
    private static final int READ_BYTES = 32 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** What holding a piece takes beside its bytes. */
    private static final int PIECE_BYTES = 256;

    private static final int MAX_COST = READ_BYTES + PIECE_BYTES;

    private final StreamedBodies owner;
    private final ClassBodies limits;
    private final Body<ByteBuf> body;
    private final Pace senderPace;

    /** The piece that is being filled, or null. */
    private ByteBuf filling;

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
            StreamedBodies owner, Budget.Account account, ClassBodies limits, long spoolBytes) {
        this.owner = owner;
        this.limits = limits;
        this.body = new Body<>(account, spoolBytes, ByteBuf::release);
        this.senderPace = newPace();
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
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, READ_BYTES);
    }

    final StreamedBodies owner() {
        return owner;
    }

    /** The pace of one side of this body, by its class's limits. */
    final Pace newPace() {
        return new Pace(limits.leastRate(), limits.stallUs(), nowUs());
    }

    // ---- Reading ----

    /** Bytes that were read. */
    final long bytesRead() {
        return bytesRead;
    }

    /** What was read so far costs of the budget, all together, bytes. */
    final long costRead() {
        return body.read();
    }

    /**
     * Takes in what was read.
     *
     * @param maxBytes the longest that the body may be
     * @return false where it is longer, or no more may come
     */
    final boolean collect(ByteBuf content, ByteBufAllocator allocator, long maxBytes) {
        final int count = content.readableBytes();
        if (bytesRead + count > maxBytes || body.state() != Body.State.OPEN) {
            return false;
        }
        bytesRead += count;
        senderPace.moved(count, nowUs());
        while (content.isReadable()) {
            if (filling == null) {
                filling = allocator.directBuffer(READ_BYTES, READ_BYTES);
            }
            filling.writeBytes(content, Math.min(content.readableBytes(), filling.writableBytes()));
            if (!filling.isWritable()) {
                endPiece(allocator);
            }
        }
        return true;
    }

    /** Passes what was read so far on to the transfers. */
    final void endPiece(ByteBufAllocator allocator) {
        if (filling == null) {
            return;
        }
        ByteBuf piece = filling;
        filling = null;
        if (body.state() != Body.State.OPEN) {
            piece.release();
            return;
        }
        if (piece.readableBytes() < READ_BYTES / 2) {
            // A large buffer must not be held for a few bytes: the budget counts capacities.
            piece = copyToSize(piece, allocator);
        }
        final int cost = piece.capacity() + PIECE_BYTES;
        body.room(cost);
        body.add(piece, cost);
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
        final boolean fits = body.room(MAX_COST) >= MAX_COST;
        senderPace.turn(fits, nowUs());
        return fits;
    }

    /** There may be capacity for another read. */
    abstract void capacityFreed();

    /** Its last byte was read. */
    final void whole(ByteBufAllocator allocator) {
        endPiece(allocator);
        body.whole();
    }

    /** No more of it will come, and it is incomplete. */
    final void broken() {
        body.broken();
    }

    /** Whether its sender, while it is to send, sends less than the least rate. */
    final boolean isSenderTooSlow() {
        return body.state() == Body.State.OPEN && senderPace.isTooSlow(nowUs());
    }

    // ---- Writing ----

    /** Whether a further transfer could begin at its first byte. */
    public final boolean canBeSentAnew() {
        return body.canBeSentAnew();
    }

    /** A transfer of it to a peer; whether it can still begin shows when it is started. */
    final BodyTransfer newTransfer(BodyTransferListener listener) {
        transfers++;
        final BodyTransfer transfer = new BodyTransfer(this, listener);
        owner.add(transfer);
        return transfer;
    }

    /**
     * A sender for a transfer, or null where none can begin at the first byte.
     *
     * @param onChange called when there is more to send, or no more will come
     */
    final Body<ByteBuf>.Sender newSender(Runnable onChange) {
        return body.send(onChange);
    }

    /** Whether the rest of it will never come. */
    final boolean isLost() {
        return body.state() == Body.State.BROKEN || body.state() == Body.State.CLOSED;
    }

    /** A transfer has written a piece, which may free capacity. */
    final void pieceSent() {
        if (body.state() == Body.State.OPEN) {
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
        if (transfers == 0 || body.state() != Body.State.WHOLE) {
            close();
        }
    }

    private void close() {
        if (filling != null) {
            filling.release();
            filling = null;
        }
        body.close();
    }
}
