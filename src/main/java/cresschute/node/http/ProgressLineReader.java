package cresschute.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts chunks, however split or joined, into lines. The buffer grows as needed and is compacted in
 * place.
 */
final class ProgressLineReader {

    static final int MAX_BYTES = 256 * 1024;

    private byte[] bytes = new byte[512];
    private int start;
    private int scanned;
    private int end;

    /** Takes in a chunk; false where a line would grow beyond its limit. */
    boolean add(ByteBuf chunk) {
        final int count = chunk.readableBytes();
        if (end - start + count > MAX_BYTES) {
            return false;
        }
        if (end + count > bytes.length) {
            final byte[] room =
                    end - start + count > bytes.length
                            ? new byte[Math.max(bytes.length * 2, end - start + count)]
                            : bytes;
            System.arraycopy(bytes, start, room, 0, end - start);
            bytes = room;
            end -= start;
            scanned -= start;
            start = 0;
        }
        chunk.readBytes(bytes, end, count);
        end += count;
        return true;
    }

    /** The next whole line that is not blank, or null. */
    String next() {
        for (; scanned < end; scanned++) {
            if (bytes[scanned] == '\n') {
                final String line =
                        new String(bytes, start, scanned - start, StandardCharsets.UTF_8).strip();
                start = scanned + 1;
                if (!line.isEmpty()) {
                    scanned++;
                    return line;
                }
            }
        }
        return null;
    }

    /** What has come after the lines that were taken, as it is; nothing of it is left here. */
    ByteBuf rawRest() {
        final ByteBuf rest = Unpooled.wrappedBuffer(bytes, start, end - start);
        start = end;
        scanned = end;
        return rest;
    }

    /** What has come without a line's end yet; the end of an answer ends its last line. */
    String rest() {
        final String rest = new String(bytes, start, end - start, StandardCharsets.UTF_8).strip();
        start = end;
        scanned = end;
        return rest;
    }
}
