package cresschute.control;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import cresschute.control.Drains.Drain;
import cresschute.control.Drains.Remembered;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * What a node keeps of its operators: the drains in force, and the operations that were carried out. Its
 * form in a file is one line that tells version, generation, length and a checksum of all the rest, and then
 * JSON. Pure.
 *
 * @param generation counts up with every snapshot, over restarts too
 */
public record Snapshot(long generation, List<Drain> drains, List<Remembered> operations) {

    private static final Pattern HEAD = Pattern.compile(
        "cresschute-drains 1 generation=([0-9]{1,18}) bytes=([0-9]{1,9}) crc32c=([0-9a-f]{8})");
    private static final Gson GSON = new Gson();

    private record Body(List<Drain> drains, List<Remembered> operations) {
    }

    /** A file that is not what was written; its message says in which way. */
    public static final class Damaged extends Exception {

        private static final long serialVersionUID = 1L;

        Damaged(String message) {
            super(message, null, false, false);
        }
    }

    /** The bytes of a file. */
    public byte[] encode() {
        final byte[] body = GSON.toJson(new Body(drains, operations)).getBytes(StandardCharsets.UTF_8);
        final byte[] head = ("cresschute-drains 1 generation=" + generation + " bytes=" + body.length
            + " crc32c=" + checksum(generation, body) + "\n").getBytes(StandardCharsets.US_ASCII);
        final byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Reads a file's bytes whole; anything torn, flipped or foreign in them is an error. */
    public static Snapshot decode(byte[] bytes) throws Damaged {
        int end = 0;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        final Matcher head = HEAD.matcher(new String(bytes, 0, end, StandardCharsets.ISO_8859_1));
        if (end == bytes.length || !head.matches()) {
            throw new Damaged("its first line is not that of a snapshot");
        }
        final int length = Integer.parseInt(head.group(2));
        if (bytes.length - end - 1 != length) {
            throw new Damaged("it holds " + (bytes.length - end - 1) + " bytes of " + length);
        }
        final byte[] body = Arrays.copyOfRange(bytes, end + 1, bytes.length);
        final long generation = Long.parseLong(head.group(1));
        if (!checksum(generation, body).equals(head.group(3))) {
            throw new Damaged("its checksum is not that of its content");
        }
        try {
            final Body read = GSON.fromJson(new String(body, StandardCharsets.UTF_8), Body.class);
            return new Snapshot(generation, List.copyOf(read.drains()), List.copyOf(read.operations()));
        } catch (JsonParseException | NullPointerException | IllegalArgumentException e) {
            throw new Damaged("its content is not that of a snapshot: " + e.getMessage());
        }
    }

    /** Over the generation too: an old file under a new number would undo what came after it. */
    private static String checksum(long generation, byte[] body) {
        final CRC32C crc = new CRC32C();
        crc.update(Long.toString(generation).getBytes(StandardCharsets.US_ASCII));
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }
}
