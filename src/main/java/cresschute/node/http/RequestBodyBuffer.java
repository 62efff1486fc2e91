package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;

/**
 * Collects a short request body of at most {@value #MAX_BYTES} bytes. The array grows as needed and
 * is handed over with the body, so that an idle connection keeps none.
 *
 * <p>Owns the array and its reservation in the {@link UnfinishedInput}; {@link #take}, {@link
 * #takeBuffer} and {@link #clear} release both. One per connection, reused for each request. Call
 * from the event loop.
 */
final class RequestBodyBuffer {

    /** The longest body that is buffered as a whole, bytes; longer ones are streamed. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] EMPTY = new byte[0];

    private final UnfinishedInput memory;
    private byte[] bytes = EMPTY;
    private int length;
    private int statedLength;

    /** Creates an empty buffer that reserves its array in this memory. */
    RequestBodyBuffer(UnfinishedInput memory) {
        this.memory = memory;
    }

    /**
     * Discards the collected bytes, and collects the next body.
     *
     * @param nextLength the length that the request states, bytes; 0 if it states none
     */
    void start(long nextLength) {
        clear();
        statedLength = (int) Math.min(MAX_BYTES, nextLength);
    }

    /** Discards the collected bytes and the array. */
    void clear() {
        handOver();
        statedLength = 0;
    }

    /** Whether {@code count} more bytes fit into the buffer. */
    boolean fits(int count) {
        return length + count <= MAX_BYTES;
    }

    /**
     * Appends all readable bytes of {@code content}; they must fit.
     *
     * @return false if there is no memory for them; the body is then incomplete for good
     */
    boolean add(ByteBuf content) {
        final int count = content.readableBytes();
        if (length + count > bytes.length && !grow(length + count)) {
            return false;
        }
        content.readBytes(bytes, length, count);
        length += count;
        return true;
    }

    /** Counts bytes of a body that is not needed. */
    void skip(int count) {
        length += count;
    }

    private boolean grow(int neededLength) {
        final int expectedLength = statedLength >= neededLength ? statedLength : MAX_BYTES;
        final int doubled = Math.max(neededLength, bytes.length * 2);
        final int nextLength = Math.min(expectedLength, doubled);
        if (!memory.reserveBody(nextLength - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, nextLength);
        return true;
    }

    /** Returns the body in an array of exactly its length, and empties this buffer. */
    byte[] take() {
        final byte[] body = bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
        handOver();
        return body;
    }

    /** Returns the collected bytes without copying them, and empties this buffer. */
    ByteBuf takeBuffer() {
        final ByteBuf collected = Unpooled.wrappedBuffer(bytes, 0, length);
        handOver();
        return collected;
    }

    private void handOver() {
        memory.releaseBody();
        bytes = EMPTY;
        length = 0;
    }
}
