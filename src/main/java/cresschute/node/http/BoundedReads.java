package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Bounds what one connection can make the event loop do in one pass: in bytes, in messages that
 * were handled and in time. What is left is read in the next pass, after all other connections.
 *
 * <p>A connection whose bytes hold very many messages is read in smaller pieces, because the
 * messages of one piece are handled without a break.
 *
 * <p>A handle per channel, which owns the counts of the current pass; call from the event loop.
 */
@SuppressWarnings("deprecation") // Netty's own transport still uses the handles of this type.
final class BoundedReads implements RecvByteBufAllocator {

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;

    /** The largest single read, bytes. A connection keeps it while a message is incomplete. */
    private static final int MAX_READ_BYTES = 8 * 1024;

    /** The smallest limit of a single read of a connection with very many messages, bytes. */
    private static final int MIN_LIMIT_BYTES = 256;

    /** The maximum number of bytes read in one pass. */
    private static final int MAX_BYTES_PER_PASS = 128 * 1024;

    /** The number of messages after which a pass ends, and reads become smaller. */
    private static final int MAX_MESSAGES_PER_PASS = 32;

    /** The time after which a pass ends, ns. */
    private static final long MAX_PASS_NS = TimeUnit.MICROSECONDS.toNanos(2_000);

    private final AdaptiveRecvByteBufAllocator sizes;
    private final LongConsumer spentNs;

    /**
     * Creates the reads of connections whose close must be noticed in the same pass that reads the
     * last bytes before it, unless a bound ends the pass first. By default, a read that does not
     * fill its buffer is the last one of its pass.
     *
     * @param spentNs told the time of each pass, ns
     */
    BoundedReads(LongConsumer spentNs) {
        this.spentNs = spentNs;
        sizes = new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        sizes.respectMaybeMoreData(false);
        sizes.maxMessagesPerRead(Integer.MAX_VALUE);
    }

    @Override
    public Handle newHandle() {
        return new PassHandle(sizes.newHandle(), spentNs);
    }

    /** The reads of this channel; null if its reads are not bounded here. */
    static PassHandle of(Channel channel) {
        return channel.unsafe().recvBufAllocHandle() instanceof PassHandle handle ? handle : null;
    }

    /** The reads of one channel. */
    static final class PassHandle extends DelegatingHandle {

        private final LongConsumer spentNs;
        private int limitBytes = MAX_READ_BYTES;
        private int bytes;
        private int messages;
        private long startedNs;

        /** Whether the last pass has ended before the last byte was read. */
        private boolean hasUnread;

        /** Whether a pass has ever read the last byte; until then nobody knows for how long. */
        private boolean everDrained;

        /** When a pass last read the last byte, by {@link System#nanoTime}. */
        private long drainedNs;

        private PassHandle(Handle delegate, LongConsumer spentNs) {
            super(delegate);
            this.spentNs = spentNs;
        }

        /** Counts a message of this channel that was handled. */
        void messageHandled() {
            messages++;
        }

        /**
         * For how long bytes, or a close behind them, may have been unread, us; 0 if the last pass
         * has read all of them.
         */
        long unreadUs() {
            if (!hasUnread) {
                return 0;
            }
            return everDrained
                    ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - drainedNs) + 1
                    : Long.MAX_VALUE;
        }

        @Override
        public int guess() {
            return Math.min(limitBytes, delegate().guess());
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public void reset(ChannelConfig config) {
            delegate().reset(config);
            bytes = 0;
            messages = 0;
            startedNs = System.nanoTime();
        }

        @Override
        public void lastBytesRead(int count) {
            bytes += Math.max(0, count);
            delegate().lastBytesRead(count);
        }

        @Override
        public boolean continueReading() {
            return bytes < MAX_BYTES_PER_PASS
                    && messages < MAX_MESSAGES_PER_PASS
                    && System.nanoTime() - startedNs < MAX_PASS_NS
                    && delegate().continueReading();
        }

        @Override
        public void readComplete() {
            delegate().readComplete();
            spentNs.accept(System.nanoTime() - startedNs);
            if (messages >= MAX_MESSAGES_PER_PASS) {
                limitBytes = Math.max(MIN_LIMIT_BYTES, limitBytes / 2);
            } else if (messages < MAX_MESSAGES_PER_PASS / 2) {
                limitBytes = Math.min(MAX_READ_BYTES, limitBytes * 2);
            }
            hasUnread = lastBytesRead() > 0;
            if (!hasUnread) {
                everDrained = true;
                drainedNs = System.nanoTime();
            }
        }
    }
}
