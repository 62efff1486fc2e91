package cresschute.control;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * The file format of a node's state: a header line with the kind, the generation, the length of the
 * body and a checksum over generation and body; then the body. A file that is torn, changed or of
 * another kind is rejected. Immutable by convention; pure.
 *
 * @param generation increases with every write, also across restarts and processes unless a newer
 *     file is lost or damaged
 * @param body the bytes after the header line
 */
public record ChecksummedFile(long generation, byte[] body) {

    private static final Pattern HEADER =
            Pattern.compile(
                    "([a-z-]{1,40} [0-9]{1,3}) generation=([0-9]{1,18}) bytes=([0-9]{1,9})"
                            + " crc32c=([0-9a-f]{8})");

    /**
     * Encodes a complete file.
     *
     * @param kind the kind and format version in the header, such as {@code "cresschute-drains 1"}
     */
    static byte[] encode(String kind, long generation, byte[] body) {
        final byte[] header =
                (kind
                                + " generation="
                                + generation
                                + " bytes="
                                + body.length
                                + " crc32c="
                                + checksum(generation, body)
                                + "\n")
                        .getBytes(StandardCharsets.US_ASCII);
        final byte[] file = Arrays.copyOf(header, header.length + body.length);
        System.arraycopy(body, 0, file, header.length, body.length);
        return file;
    }

    /**
     * Reads a complete file of this kind.
     *
     * @throws DamagedFileException if it is torn, changed or of another kind
     */
    static ChecksummedFile decode(String kind, byte[] bytes) throws DamagedFileException {
        final int headerLength = headerLength(bytes);
        final Matcher header =
                HEADER.matcher(new String(bytes, 0, headerLength, StandardCharsets.ISO_8859_1));
        if (headerLength == bytes.length || !header.matches() || !header.group(1).equals(kind)) {
            throw new DamagedFileException(
                    "its header line is not that of the file format " + kind);
        }
        final int bodyLength = bytes.length - headerLength - 1;
        final int expectedLength = Integer.parseInt(header.group(3));
        if (bodyLength != expectedLength) {
            throw new DamagedFileException(
                    "its body has " + bodyLength + " bytes; its header states " + expectedLength);
        }
        final byte[] body = Arrays.copyOfRange(bytes, headerLength + 1, bytes.length);
        final long generation = Long.parseLong(header.group(2));
        if (!checksum(generation, body).equals(header.group(4))) {
            throw new DamagedFileException("its checksum does not match its generation and body");
        }
        return new ChecksummedFile(generation, body);
    }

    /** Returns the number of bytes before the first line feed, or of all bytes if there is none. */
    private static int headerLength(byte[] bytes) {
        int length = 0;
        while (length < bytes.length && bytes[length] != '\n') {
            length++;
        }
        return length;
    }

    /**
     * Returns the checksum of generation and body. It covers the generation because otherwise an
     * old file whose generation was damaged to a higher number would be accepted as the newest one
     * and undo later changes.
     */
    private static String checksum(long generation, byte[] body) {
        final CRC32C crc = new CRC32C();
        crc.update(Long.toString(generation).getBytes(StandardCharsets.US_ASCII));
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }
}
