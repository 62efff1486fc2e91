package cresschute.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Collects the records of one reply and writes them with a header. All numbers are little endian.
 */
final class FrameWriter {

    private static final int HEADER_BYTES = 12;
    private static final int RECORD_HEADER_BYTES = 5;
    private static final int MAX_TEXT_BYTES = 2000;

    private ByteBuffer frame = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    FrameWriter() {
        clear();
    }

    /** Starts a record; the caller must then write exactly {@code length} bytes of fields. */
    FrameWriter record(int code, int length) {
        if (frame.remaining() < RECORD_HEADER_BYTES + length) {
            final int wanted = frame.capacity() * 2 + RECORD_HEADER_BYTES + length;
            frame = ByteBuffer.allocate(wanted).order(ByteOrder.LITTLE_ENDIAN).put(frame.flip());
        }
        frame.put((byte) code).putInt(length);
        records++;
        return this;
    }

    FrameWriter u8(int value) {
        frame.put((byte) value);
        return this;
    }

    FrameWriter u16(int value) {
        frame.putShort((short) value);
        return this;
    }

    FrameWriter u32(int value) {
        frame.putInt(value);
        return this;
    }

    FrameWriter u64(long value) {
        frame.putLong(value);
        return this;
    }

    /** Writes a complete record of an instance and a text. A long text is truncated. */
    void text(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            bytes = text.substring(0, MAX_TEXT_BYTES / 4).getBytes(StandardCharsets.UTF_8);
        }
        record(code, Integer.BYTES + Short.BYTES + bytes.length).u32(instance);
        frame.putShort((short) bytes.length).put(bytes);
    }

    /** Writes the reply to the batch with this sequence number and starts an empty reply. */
    void flushTo(OutputStream out, int sequence) throws IOException {
        final int length = frame.position();
        frame.putInt(0, records).putInt(Integer.BYTES, length).putInt(2 * Integer.BYTES, sequence);
        out.write(frame.array(), 0, length);
        out.flush();
        clear();
    }

    private void clear() {
        records = 0;
        frame.clear().position(HEADER_BYTES);
    }
}
