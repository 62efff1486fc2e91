package cresschute.testbed.bodies;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Copies bytes from socket to socket without parsing them: the minimum cost of forwarding, as a
 * baseline for the throughput of a node. Uses two threads per connection.
 */
final class PlainRelay implements AutoCloseable {

    private static final int BLOCK = 64 * 1024;
    private static final int BACKLOG = 64;

    private final ServerSocket server;
    private final InetSocketAddress to;

    PlainRelay(InetSocketAddress to) throws IOException {
        this.to = to;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        BodyWorker.daemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket from = server.accept();
                final Socket onward = new Socket(to.getAddress(), to.getPort());
                BodyWorker.daemon(() -> copy(from, onward));
                BodyWorker.daemon(() -> copy(onward, from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void copy(Socket from, Socket to) {
        final byte[] block = new byte[BLOCK];
        try (from;
                to) {
            for (int count = from.getInputStream().read(block);
                    count >= 0;
                    count = from.getInputStream().read(block)) {
                to.getOutputStream().write(block, 0, count);
            }
        } catch (IOException e) {
            // One side has closed; closes the other as well.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
