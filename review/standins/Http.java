import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {

    private Http() {}

    /** A message: its first line, its headers by lower-case name, and its whole body. */
    record Message(String first, Map<String, String> headers, String body) {

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String target() {
            return first.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    static Message readRequest(InputStream in) throws IOException {
        return read(in, false);
    }

    static Message readResponse(InputStream in) throws IOException {
        return read(in, true);
    }

    private static Message read(InputStream in, boolean untilClose) throws IOException {
        final String first = line(in);
        final Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            while (!line(in).isEmpty()) {
                continue;
            }
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        } else if (untilClose) {
            body.write(in.readAllBytes());
        }
        return new Message(first, headers, body.toString(StandardCharsets.UTF_8));
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].strip(), 16);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        final byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended in a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
