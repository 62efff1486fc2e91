package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;

/**
 * Collects a short request body, which is kept whole: at most {@value #MAX_BYTES} bytes. The array
 * grows as needed and is handed over with the body, so that an idle connection keeps none.
 *
 * <p>One per connection, used for one request after the other from the event loop.
 */
final class RequestBodyBuffer {

    /** The longest body that is kept whole, bytes; longer ones are streamed. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int length;

    /** Discards what was collected. */
    void clear() {
        length = 0;
    }

    /** Whether so many bytes more can be added. */
    boolean fits(int count) {
        return length + count <= MAX_BYTES;
    }

    /** Adds all readable bytes of a buffer; they must fit. */
    void add(ByteBuf content) {
        final int count = content.readableBytes();
        if (length + count > bytes.length) {
            final int wanted = Math.max(length + count, bytes.length * 2);
            bytes = Arrays.copyOf(bytes, Math.min(MAX_BYTES, wanted));
        }
        content.readBytes(bytes, length, count);
        length += count;
    }

    /** Hands the body over in an array of its own length; this buffer is empty afterwards. */
    byte[] take() {
        final byte[] body = bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
        bytes = EMPTY;
        length = 0;
        return body;
    }

    /** Hands over what was collected so far without copying; this buffer is empty afterwards. */
    ByteBuf takeBuffer() {
        final ByteBuf collected = Unpooled.wrappedBuffer(bytes, 0, length);
        bytes = EMPTY;
        length = 0;
        return collected;
    }
}
