package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a response into lines, independent of its chunk boundaries. The buffer grows as needed and
 * is compacted in place.
 *
 * <p>Owns the buffer and its reservation in the {@link MemoryQuota}; {@link #close} releases both.
 * One per response; used by one thread.
 */
final class ProgressLineReader {

    /** Limit for an unread line together with the data received after it, bytes. */
    static final int MAX_BYTES = 256 * 1024;

    /**
     * The size of the buffer of a line up to which its attempt waits for memory, bytes. A longer
     * line is no result, as a result is no longer than a body.
     */
    static final int MAX_WAITING_BYTES = 128 * 1024;

    /** The size of a buffer that no memory is reserved for, bytes. */
    static final int INITIAL_BYTES = 512;

    private static final byte[] CLOSED = new byte[0];

    private final MemoryQuota memory;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int reservedBytes;

    /** Index of the first unread byte. */
    private int start;

    /** Index up to which the unread bytes have no line end. */
    private int scanned;

    /** Index after the last received byte. */
    private int end;

    /** Creates a reader that reserves its buffer in this memory. */
    ProgressLineReader(MemoryQuota memory) {
        this.memory = memory;
    }

    /**
     * Adds a chunk. Returns false, and adds nothing, if that would exceed the limit of a line or of
     * the memory. Must not be called once the reader is closed.
     */
    boolean add(ByteBuf chunk) {
        return add(chunk, false);
    }

    /**
     * Same as {@link #add(ByteBuf)}, but goes beyond the limit of the memory if that is allowed.
     */
    boolean add(ByteBuf chunk, boolean beyondMemory) {
        final int count = chunk.readableBytes();
        if (isTooLongWith(count)) {
            return false;
        }
        if (end + count > bytes.length && !compact(count, beyondMemory)) {
            return false;
        }
        chunk.readBytes(bytes, end, count);
        end += count;
        return true;
    }

    /** Whether the unread line would be too long with this many more bytes. */
    boolean isTooLongWith(int count) {
        return end - start + count > MAX_BYTES;
    }

    /** Whether a line that needs more memory may wait for it. */
    boolean mayWait() {
        return bytes.length < MAX_WAITING_BYTES;
    }

    /**
     * Moves the unread bytes to the front, of a larger array if {@code count} more do not fit.
     *
     * @return false if there is no memory for a larger array
     */
    private boolean compact(int count, boolean beyondMemory) {
        final int needed = end - start + count;
        byte[] target = bytes;
        if (needed > bytes.length) {
            final int length = Math.min(MAX_BYTES, Math.max(bytes.length * 2, needed));
            if (memory.reserve(length - bytes.length)) {
                reservedBytes += length - bytes.length;
            } else if (!beyondMemory) {
                return false;
            }
            target = new byte[length];
        }
        System.arraycopy(bytes, start, target, 0, end - start);
        bytes = target;
        end -= start;
        scanned -= start;
        start = 0;
        return true;
    }

    /** Discards the unread bytes and the buffer. Further calls have no effect. */
    void close() {
        memory.release(reservedBytes);
        reservedBytes = 0;
        bytes = CLOSED;
        start = 0;
        scanned = 0;
        end = 0;
    }

    /** Removes and returns the next complete line that is not blank, stripped; null if none. */
    String nextLine() {
        for (; scanned < end; scanned++) {
            if (bytes[scanned] == '\n') {
                final String line = text(scanned);
                start = scanned + 1;
                if (!line.isEmpty()) {
                    scanned++;
                    return line;
                }
            }
        }
        return null;
    }

    /** Removes and returns all unread bytes. */
    ByteBuf takeRemaining() {
        final ByteBuf remaining = Unpooled.wrappedBuffer(bytes, start, end - start);
        skipAll();
        return remaining;
    }

    /** Removes and returns the line without a line end at the end of the response, stripped. */
    String takeLastLine() {
        final String line = text(end);
        skipAll();
        return line;
    }

    private String text(int to) {
        return new String(bytes, start, to - start, StandardCharsets.UTF_8).strip();
    }

    private void skipAll() {
        start = end;
        scanned = end;
    }
}
