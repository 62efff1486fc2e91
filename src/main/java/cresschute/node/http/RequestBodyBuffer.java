package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;

/**
 * Collects a short request body of at most {@value #MAX_BYTES} bytes. The array grows as needed and
 * is handed over with the body, so that an idle connection keeps none.
 *
 * <p>One per connection, reused for each request. Call from the event loop.
 */
final class RequestBodyBuffer {

    /** The longest body that is buffered as a whole, bytes; longer ones are streamed. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int length;

    /** Discards the collected bytes. */
    void clear() {
        length = 0;
    }

    /** Whether {@code count} more bytes fit into the buffer. */
    boolean fits(int count) {
        return length + count <= MAX_BYTES;
    }

    /** Appends all readable bytes of {@code content}; they must fit. */
    void add(ByteBuf content) {
        final int count = content.readableBytes();
        if (length + count > bytes.length) {
            final int wanted = Math.max(length + count, bytes.length * 2);
            bytes = Arrays.copyOf(bytes, Math.min(MAX_BYTES, wanted));
        }
        content.readBytes(bytes, length, count);
        length += count;
    }

    /** Returns the body in an array of exactly its length, and empties this buffer. */
    byte[] take() {
        final byte[] body = bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
        bytes = EMPTY;
        length = 0;
        return body;
    }

    /** Returns the collected bytes without copying them, and empties this buffer. */
    ByteBuf takeBuffer() {
        final ByteBuf collected = Unpooled.wrappedBuffer(bytes, 0, length);
        bytes = EMPTY;
        length = 0;
        return collected;
    }
}
