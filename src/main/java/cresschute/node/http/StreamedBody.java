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
 * A long body on its way, a request's or a result. Read in pieces that are copied out of what the
 * codec hands on, so that what is held is what is counted, however small the chunks; written by
 * pumps. On the loop.
 */
abstract class StreamedBody {

    /**
     * The most that is read at a time: half of it gives a fifth less throughput. Together with what
     * a short body may have grown to before it was known to be long, it must fit into the least
     * window.
     */
    private static final int READ_BYTES = 32 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** What holding a piece takes beside its bytes. */
    private static final int PIECE_BYTES = 256;

    private static final int MAX_COST = READ_BYTES + PIECE_BYTES;

    final StreamedBodies owner;
    private final ClassBodies limits;
    private final BodyBuffer<ByteBuf> body;
    private final TransferMonitor from;
    private ByteBuf filling;
    private long bytes;
    private boolean retired;
    private int pumps;

    /**
     * A body of which nothing is read.
     *
     * @param spool what is kept of it for a further sender, bytes
     */
    StreamedBody(
            StreamedBodies owner,
            BufferBudget.Reservation account,
            ClassBodies limits,
            long spool) {
        this.owner = owner;
        this.limits = limits;
        this.body = new BodyBuffer<>(account, spool, ByteBuf::release);
        this.from = newPace();
    }

    static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    final TransferMonitor newPace() {
        return new TransferMonitor(limits.leastRate(), limits.stallUs(), nowUs());
    }

    /** Bytes that have come. */
    final long bytes() {
        return bytes;
    }

    /**
     * For connections on which such bodies come: one read brings no more than there is room for.
     */
    static RecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, READ_BYTES);
    }

    // ---- In ----

    /** Takes in what was read; false where none may come, or more than the most. */
    final boolean collect(ByteBuf content, ByteBufAllocator allocator, long max) {
        final int count = content.readableBytes();
        if (bytes + count > max || body.state() != BodyBuffer.State.OPEN) {
            return false;
        }
        bytes += count;
        from.transferred(count, nowUs());
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

    /** What was read so far goes on its way. */
    final void endPiece(ByteBufAllocator allocator) {
        if (filling == null) {
            return;
        }
        ByteBuf piece = filling;
        filling = null;
        if (body.state() != BodyBuffer.State.OPEN) {
            piece.release();
            return;
        }
        if (piece.readableBytes() < READ_BYTES / 2) {
            // Guards the bound: a large buffer is not held for a few bytes.
            final ByteBuf small =
                    allocator.directBuffer(piece.readableBytes(), piece.readableBytes());
            small.writeBytes(piece);
            piece.release();
            piece = small;
        }
        final int cost = piece.capacity() + PIECE_BYTES;
        body.credit(cost);
        body.append(piece, cost);
    }

    /**
     * Whether another read has room; where it has not, {@link #hasRoomAgain} is called once it may
     * have.
     */
    final boolean hasRoom() {
        final boolean fits = body.credit(MAX_COST) >= MAX_COST;
        from.setActive(fits, nowUs());
        return fits;
    }

    /** There may be room for another read. */
    abstract void hasRoomAgain();

    /** What it has come to cost so far. */
    final long read() {
        return body.appendedCost();
    }

    /** Its last byte is here. */
    final void whole(ByteBufAllocator allocator) {
        endPiece(allocator);
        body.complete();
    }

    /** The rest of it will not come. */
    final void broken() {
        body.abort();
    }

    final boolean isSenderTooSlow() {
        return body.state() == BodyBuffer.State.OPEN && from.isTooSlow(nowUs());
    }

    // ---- Out ----

    /** Whether a further pump could begin at its first byte. */
    public final boolean isReplayable() {
        return body.canReplay();
    }

    /** A way on; it may find at its start that it cannot be begun any more. */
    final BodyTransfer pump(BodyTransfer.BodyEndpoints ends) {
        pumps++;
        final BodyTransfer pump = new BodyTransfer(this, ends);
        owner.add(pump);
        return pump;
    }

    final BodyBuffer<ByteBuf>.Reader send(Runnable news) {
        return body.openReader(news);
    }

    final boolean isLost() {
        return body.state() == BodyBuffer.State.ABORTED || body.state() == BodyBuffer.State.CLOSED;
    }

    /** A piece is out. */
    final void sentSome() {
        if (body.state() == BodyBuffer.State.OPEN) {
            hasRoomAgain();
        }
    }

    final void left(BodyTransfer pump) {
        owner.remove(pump);
        if (--pumps == 0 && retired) {
            close();
        }
    }

    /**
     * Nobody will begin to send it any more. Where all of it has come, pumps that are at work go
     * on; otherwise it ends here.
     */
    final void retire() {
        retired = true;
        if (pumps == 0 || body.state() != BodyBuffer.State.COMPLETE) {
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
