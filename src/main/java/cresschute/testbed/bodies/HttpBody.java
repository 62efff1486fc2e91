package cresschute.testbed.bodies;

import java.io.IOException;
import java.util.Map;

/** The body behind a head: of a stated length, in chunks, or to the connection's end. */
final class HttpBody {

    private static final int HEX = 16;

    private final PacedSocket connection;
    private final boolean chunked;
    private final boolean toTheEnd;
    private final long length;
    private long left;
    private boolean ended;

    /** The body of a message that may have one; without a length and chunks it goes to the end. */
    HttpBody(PacedSocket connection, Map<String, String> headers) {
        this.connection = connection;
        chunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        length = Long.parseLong(headers.getOrDefault("content-length", "-1"));
        toTheEnd = !chunked && length < 0;
        left = chunked ? 0 : toTheEnd ? Long.MAX_VALUE : length;
    }

    /** Whether it is the text that short jobs send. */
    boolean isSmall() {
        return length == 0;
    }

    /** The next bytes of it, or -1 after its last; one that ends early is an exception. */
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
            throw new IOException("ended " + left + " bytes early");
        }
        left -= toTheEnd ? 0 : count;
        if (chunked && left == 0) {
            connection.readLine();
        }
        return count;
    }
}
