package cresschute.control;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * The form of what a node keeps in a file: one line that names the kind and tells generation,
 * length and a checksum of all the rest, and then the content. Whatever is torn, flipped or of
 * another kind is refused. Pure.
 *
 * @param generation counts up with every write, over restarts and processes too
 * @param body the content after the first line
 */
public record ChecksummedFile(long generation, byte[] body) {

    private static final Pattern HEAD =
            Pattern.compile(
                    "([a-z-]{1,40} [0-9]{1,3}) generation=([0-9]{1,18}) bytes=([0-9]{1,9})"
                            + " crc32c=([0-9a-f]{8})");

    /** A file that is not what was written; its message says in which way. */
    public static final class DamagedFileException extends Exception {

        private static final long serialVersionUID = 1L;

        DamagedFileException(String message) {
            super(message, null, false, false);
        }
    }

    /** The bytes of a file of this kind, such as {@code "cresschute-drains 1"}. */
    static byte[] encode(String kind, long generation, byte[] body) {
        final byte[] head =
                (kind
                                + " generation="
                                + generation
                                + " bytes="
                                + body.length
                                + " crc32c="
                                + checksum(generation, body)
                                + "\n")
                        .getBytes(StandardCharsets.US_ASCII);
        final byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Reads a file of this kind whole. */
    static ChecksummedFile decode(String kind, byte[] bytes) throws DamagedFileException {
        int end = 0;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        final Matcher head = HEAD.matcher(new String(bytes, 0, end, StandardCharsets.ISO_8859_1));
        if (end == bytes.length || !head.matches() || !head.group(1).equals(kind)) {
            throw new DamagedFileException("its first line is not that of a file of " + kind);
        }
        final int length = Integer.parseInt(head.group(3));
        if (bytes.length - end - 1 != length) {
            throw new DamagedFileException(
                    "it holds " + (bytes.length - end - 1) + " bytes of " + length);
        }
        final byte[] body = Arrays.copyOfRange(bytes, end + 1, bytes.length);
        final long generation = Long.parseLong(head.group(2));
        if (!checksum(generation, body).equals(head.group(4))) {
            throw new DamagedFileException("its checksum is not that of its content");
        }
        return new ChecksummedFile(generation, body);
    }

    /** Over the generation too: an old file under a new number would undo what came after it. */
    private static String checksum(long generation, byte[] body) {
        final CRC32C crc = new CRC32C();
        crc.update(Long.toString(generation).getBytes(StandardCharsets.US_ASCII));
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }
}
