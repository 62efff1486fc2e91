package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a response into lines, wherever its chunks begin and end. The buffer grows as needed and is
 * compacted in place. One per response; used by one thread.
 */
final class ProgressLineReader {

    /** The longest line, with what has arrived behind it, bytes. */
    static final int MAX_BYTES = 256 * 1024;

    private static final int INITIAL_BYTES = 512;

    private byte[] bytes = new byte[INITIAL_BYTES];

    /** Where the first line that was not taken begins. */
    private int start;

    /** Up to where no line end was found. */
    private int scanned;

    /** Where what has arrived ends. */
    private int end;

    /** Adds a chunk; false, with nothing added, where a line would grow beyond its limit. */
    boolean add(ByteBuf chunk) {
        final int count = chunk.readableBytes();
        if (end - start + count > MAX_BYTES) {
            return false;
        }
        if (end + count > bytes.length) {
            compact(count);
        }
        chunk.readBytes(bytes, end, count);
        end += count;
        return true;
    }

    /** Moves what is left to the front, into a larger array where so many bytes more do not fit. */
    private void compact(int count) {
        final int needed = end - start + count;
        final byte[] target =
                needed > bytes.length ? new byte[Math.max(bytes.length * 2, needed)] : bytes;
        System.arraycopy(bytes, start, target, 0, end - start);
        bytes = target;
        end -= start;
        scanned -= start;
        start = 0;
    }

    /** Takes the next line that has ended and is not blank, stripped; null where there is none. */
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

    /** Takes the bytes behind the lines that were taken, as they are. */
    ByteBuf takeRemaining() {
        final ByteBuf remaining = Unpooled.wrappedBuffer(bytes, start, end - start);
        skipAll();
        return remaining;
    }

    /** Takes the line that the end of the response ends, stripped; empty where there is none. */
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
