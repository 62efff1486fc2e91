package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One end of a connection, controlled by the test: writes text and reads HTTP messages. Every wait
 * has a timeout.
 */
final class Peer implements Closeable {

    static final int BACKLOG = 10;
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int TIMEOUT_MS = 8_000;
    private static final int SMALL_BUFFER_BYTES = 2 * 1024;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");

    private final Socket socket;

    private Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
    }

    static Peer connect(SocketAddress addr) throws IOException {
        final Socket socket = new Socket();
        socket.connect(addr, TIMEOUT_MS);
        return new Peer(socket);
    }

    /** Same, with a small receive buffer, so that what is not read fills the other end's memory. */
    static Peer connectWithSmallBuffer(SocketAddress addr) throws IOException {
        final Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(addr, TIMEOUT_MS);
        return new Peer(socket);
    }

    /**
     * Returns a listener on a free loopback port; connections wait in its backlog for {@link
     * #accept}.
     */
    static ServerSocket listen() throws IOException {
        return listen(0);
    }

    /** Listens on a port that an earlier listener may just have left; 0 for a free one. */
    static ServerSocket listen(int port) throws IOException {
        final ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress("127.0.0.1", port), BACKLOG);
        server.setSoTimeout(TIMEOUT_MS);
        return server;
    }

    static Peer accept(ServerSocket server) throws IOException {
        return new Peer(server.accept());
    }

    Peer write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /**
     * Writes {@code count} bytes of a fixed byte sequence, starting at index {@code from}, without
     * chunk framing.
     */
    Peer writeBytes(long from, long count) throws IOException {
        final byte[] bytes = new byte[BLOCK_BYTES];
        for (long at = from; at < from + count; at += BLOCK_BYTES) {
            final int now = (int) Math.min(BLOCK_BYTES, from + count - at);
            for (int i = 0; i < now; i++) {
                bytes[i] = byteAt(at + i);
            }
            socket.getOutputStream().write(bytes, 0, now);
        }
        return this;
    }

    /** Reads {@code count} bytes and checks each of them against that sequence. */
    Peer readBytes(long from, long count) throws IOException {
        final byte[] bytes = new byte[BLOCK_BYTES];
        for (long at = from; at < from + count; ) {
            final int now =
                    socket.getInputStream()
                            .read(bytes, 0, (int) Math.min(BLOCK_BYTES, from + count - at));
            assertThat(now).as("connection ended at byte " + at).isNotNegative();
            for (int i = 0; i < now; i++) {
                if (bytes[i] != byteAt(at + i)) {
                    throw new AssertionError("unexpected byte at index " + (at + i));
                }
            }
            at += now;
        }
        return this;
    }

    /** Same as {@link #readBytes}, for a whole chunked body of {@code count} bytes. */
    Peer readChunks(long count) throws IOException {
        final InputStream in = socket.getInputStream();
        long at = 0;
        for (int size = -1; size != 0; ) {
            final StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                line.append((char) in.read());
            }
            size = Integer.parseInt(line.toString().strip(), 16);
            readBytes(at, size);
            at += size;
            assertThat(in.readNBytes(2)).containsExactly('\r', '\n');
        }
        assertThat(at).isEqualTo(count);
        return this;
    }

    /** Writes {@code count} bytes of that sequence as one chunk. */
    Peer writeChunk(long from, int count) throws IOException {
        return write(Integer.toHexString(count) + "\r\n").writeBytes(from, count).write("\r\n");
    }

    /** Reads until the other end closes; returns null if it resets the connection. */
    byte[] readToEnd() throws IOException {
        try {
            return socket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            return null;
        }
    }

    private static byte byteAt(long at) {
        return (byte) ((at * 0x9E3779B97F4A7C15L) >>> 56);
    }

    /** Reads one line without its line feed; returns null if the other end closes first. */
    String readLine() throws IOException {
        final StringBuilder line = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next != '\n';
                next = socket.getInputStream().read()) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        return line.toString();
    }

    /** Reads one head, without a body. */
    String readHead() throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = socket.getInputStream().read();
            assertThat(next).as("connection ended after: " + head).isNotNegative();
            head.append((char) next);
        }
        return head.toString();
    }

    /** Reads one head and a body of the length that it states. */
    String read() throws IOException {
        return readBody(readHead());
    }

    /** Reads the body after this head, and returns both. */
    String readBody(String head) throws IOException {
        final InputStream in = socket.getInputStream();
        final Matcher length = LENGTH.matcher(head);
        final int count = length.find() ? Integer.parseInt(length.group(1)) : 0;
        return head + new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
    }

    /** Whether the other end closes without sending another byte; fails after the timeout. */
    boolean isClosedByOther() throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    boolean hasUnreadBytes() throws IOException {
        return socket.getInputStream().available() > 0;
    }

    /** Closes the sending side; reading is still possible. */
    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection as a client does that stops waiting for its response. */
    void disconnect() throws IOException {
        socket.close();
    }

    /** Resets the connection, as happens when a process dies. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
