package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/** Clients of one node: one request at a time on a connection, which is kept and used again. */
final class Client {
    private final String host;
    private final int port;
    private final Record record;
    private final Deque<Connection> idle = new ArrayDeque<>();

    /** A connection to the node. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final BufferedInputStream in;

        Connection(String host, int port) throws IOException {
            socket = new Socket(InetAddress.getByName(host), port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    Client(String address, Record record) {
        host = address.substring(0, address.lastIndexOf(':'));
        port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        this.record = record;
    }

    Connection connect() throws IOException {
        return new Connection(host, port);
    }

    /** The bytes of a job. */
    static byte[] job(String target, String id, String key, long deadlineMs, String body) {
        return ("POST " + target + " HTTP/1.1\r\nHost: node\r\nX-Request-Id: " + id + "\r\nX-Deadline: "
                + deadlineMs + "m\r\n" + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a job and returns its answer; null if the connection ended without one. */
    Http.Message send(String target, String id, String key, long deadlineMs, String body) {
        record.add("client sends %s %s", id, target);
        try {
            Connection connection;
            synchronized (idle) {
                connection = idle.poll();
            }
            if (connection == null) {
                connection = connect();
            }
            connection.socket.setSoTimeout((int) deadlineMs + 5_000);
            connection.write(job(target, id, key, deadlineMs, body));
            Http.Message answer;
            try {
                answer = Http.read(connection.in);
            } catch (java.net.SocketException e) {
                answer = null;
            }
            if (answer != null && !answer.closes()) {
                synchronized (idle) {
                    idle.push(connection);
                }
            } else {
                connection.close();
            }
            record.add("client has %s: %s", id,
                    answer == null ? "no answer, connection closed" : answer.startLine + " " + answer.text().strip());
            return answer;
        } catch (IOException e) {
            record.add("client has %s: no answer, %s", id, e);
            return null;
        }
    }

    /** Waits until the node says that it is ready. */
    boolean awaitReady(long seconds) throws InterruptedException {
        final long untilNs = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < untilNs) {
            try (Connection connection = connect()) {
                connection.socket.setSoTimeout(1_000);
                connection.write("GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                final Http.Message answer = Http.read(connection.in);
                if (answer != null && answer.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(50);
        }
        return false;
    }
}
