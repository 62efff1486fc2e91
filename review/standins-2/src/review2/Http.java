package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads one HTTP/1.1 message at a time. Bytes of heads are kept as they came (ISO-8859-1). */
final class Http {
    private Http() {}

    /** A request or a response. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(header("Connection"));
        }
    }

    /** Returns the next line without its end, or null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("in a line");
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null if the stream ends before its first byte. */
    static Message head(InputStream in) throws IOException {
        final Message message = new Message();
        message.startLine = line(in);
        if (message.startLine == null) {
            return null;
        }
        for (String next = line(in); next == null || !next.isEmpty(); next = line(in)) {
            if (next == null) {
                throw new EOFException("in a head");
            }
            final int colon = next.indexOf(':');
            message.headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        final Message message = head(in);
        if (message == null) {
            return null;
        }
        final String coding = message.header("Transfer-Encoding");
        final String length = message.header("Content-Length");
        if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                final int size = Integer.parseInt(line(in).trim(), 16);
                if (size == 0) {
                    while (!line(in).isEmpty()) {}
                    break;
                }
                body.write(exactly(in, size));
                line(in);
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        final byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("in a body");
        }
        return bytes;
    }
}
