package cresschute.testbed.bodies;

import java.io.IOException;
import java.util.Map;

/**
 * The body of an HTTP message: of a given length, chunked, or delimited by the end of the
 * connection.
 */
final class HttpBody {

    private static final int HEX = 16;

    private final PacedSocket connection;
    private final boolean chunked;
    private final boolean toTheEnd;
    private final long length;
    private long left;
    private boolean ended;

    /**
     * Creates the body of a message; without a length and chunks it extends to the end of the
     * connection.
     */
    HttpBody(PacedSocket connection, Map<String, String> headers) {
        this.connection = connection;
        chunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        length = Long.parseLong(headers.getOrDefault("content-length", "-1"));
        toTheEnd = !chunked && length < 0;
        left = chunked ? 0 : toTheEnd ? Long.MAX_VALUE : length;
    }

    /** Returns whether the body is empty, as that of short jobs. */
    boolean isSmall() {
        return length == 0;
    }

    /**
     * Reads the next bytes; returns -1 after the last.
     *
     * @throws IOException if the body ends early
     */
    int read(byte[] into) throws IOException {
        if (chunked && left == 0 && !ended) {
            left = Long.parseLong(connection.readLine().split(";")[0].strip(), HEX);
            if (left == 0) {
                connection.readHeaders();
                ended = true;
            }
        }
        if (ended || left == 0) {
            return -1;
        }
        final int count = connection.read(into, left);
        if (count < 0) {
            if (toTheEnd) {
                ended = true;
                return -1;
            }
            throw new IOException("body ended " + left + " bytes early");
        }
        left -= toTheEnd ? 0 : count;
        if (chunked && left == 0) {
            connection.readLine();
        }
        return count;
    }
}
