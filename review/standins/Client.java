import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a node. */
final class Client implements AutoCloseable {

    final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(InetSocketAddress node) throws IOException {
        socket.connect(node, 2000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The text of a request; the key is left out if it is null. */
    static String request(String jobClass, String id, long deadlineMs, String key, String body) {
        return "POST /"
                + jobClass
                + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: "
                + id
                + "\r\nX-Deadline: "
                + deadlineMs
                + "m\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    Http.Message read(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        return Http.readResponse(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
