package cresschute.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads batches. A batch is a header followed by records; a record is a code, a length and that
 * many bytes of fields. All numbers are little endian. Every read method throws {@link
 * MalformedInputException} if the bytes do not have this format.
 */
final class FrameReader {

    private static final int HEADER_BYTES = 20;
    private static final int RECORD_HEADER_BYTES = 5;

    private final InputStream in;
    private ByteBuffer frame = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private long clockUs;
    private int recordsLeft;
    private int sequence;
    private int recordCode;
    private int recordEnd;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next batch completely. Returns false at the end of the input. */
    boolean nextBatch() throws IOException {
        final int headerBytes = in.readNBytes(frame.array(), 0, HEADER_BYTES);
        if (headerBytes == 0) {
            return false;
        }
        if (headerBytes < HEADER_BYTES) {
            throw new MalformedInputException("input ends inside a batch header");
        }
        frame.clear();
        clockUs = frame.getLong();
        final int length = frame.getInt();
        recordsLeft = frame.getInt();
        sequence = frame.getInt();
        if (length < HEADER_BYTES) {
            throw new MalformedInputException(
                    "batch length " + Integer.toUnsignedString(length) + " is out of range");
        }
        if (length > frame.capacity()) {
            frame =
                    ByteBuffer.allocate(Math.max(length, length / 2 * 3))
                            .order(ByteOrder.LITTLE_ENDIAN);
        }
        if (in.readNBytes(frame.array(), HEADER_BYTES, length - HEADER_BYTES)
                < length - HEADER_BYTES) {
            throw new MalformedInputException("input ends inside a batch");
        }
        frame.limit(length).position(HEADER_BYTES);
        recordEnd = HEADER_BYTES;
        return true;
    }

    /** Moves to the next record of the batch. Returns false after the last one. */
    boolean nextRecord() {
        frame.position(recordEnd);
        if (recordsLeft == 0) {
            if (frame.remaining() != 0) {
                throw new MalformedInputException("batch has bytes after its last record");
            }
            return false;
        }
        recordsLeft--;
        if (frame.remaining() < RECORD_HEADER_BYTES) {
            throw new MalformedInputException("batch ends inside a record header");
        }
        recordCode = frame.get() & 0xff;
        final int length = frame.getInt();
        if (length < 0 || length > frame.remaining()) {
            throw new MalformedInputException("record " + recordCode + " is longer than its batch");
        }
        recordEnd = frame.position() + length;
        return true;
    }

    /** Time of the batch on the simulator's clock, us. */
    long clockUs() {
        return clockUs;
    }

    /** Sequence number of the batch, which its reply repeats. */
    int sequence() {
        return sequence;
    }

    /** Code of the current record; see {@link WireCodes}. */
    int code() {
        return recordCode;
    }

    int u8() {
        requireBytes(Byte.BYTES);
        return frame.get() & 0xff;
    }

    int u16() {
        requireBytes(Short.BYTES);
        return frame.getShort() & 0xffff;
    }

    /** Reads an unsigned 32-bit value and returns its bits as an int. */
    int u32() {
        requireBytes(Integer.BYTES);
        return frame.getInt();
    }

    long u64() {
        requireBytes(Long.BYTES);
        return frame.getLong();
    }

    float f32() {
        requireBytes(Float.BYTES);
        return frame.getFloat();
    }

    byte[] bytes(int count) {
        requireBytes(count);
        final byte[] bytes = new byte[count];
        frame.get(bytes);
        return bytes;
    }

    private void requireBytes(int count) {
        if (count < 0 || recordEnd - frame.position() < count) {
            throw new MalformedInputException(
                    "record " + recordCode + " is too short for its fields");
        }
    }
}
