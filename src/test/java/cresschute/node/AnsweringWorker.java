package cresschute.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A worker that serves each job at once, withholds the responses to all of them, or answers each
 * with a text that the test states. Uses one thread for each connection.
 */
final class AnsweringWorker implements Closeable {

    private static final int BACKLOG = 256;
    private static final Pattern ID = Pattern.compile("(?i)\r\nx-request-id: *(\\S+)");

    final ServerSocket server;
    private static final String WITHHELD = "";
    private final UnaryOperator<String> responseToId;
    private final List<Peer> connections = new CopyOnWriteArrayList<>();
    private final AtomicInteger jobs = new AtomicInteger();

    /** Listens on a free port, on all addresses. */
    AnsweringWorker(boolean withholdingResponses) throws IOException {
        this(withholdingResponses ? id -> WITHHELD : AnsweringWorker::served);
    }

    /**
     * Same, with other responses.
     *
     * @param responseToId makes the response to the job with a request id; empty for none
     */
    AnsweringWorker(UnaryOperator<String> responseToId) throws IOException {
        this.responseToId = responseToId;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("0.0.0.0"));
        start(this::accept);
    }

    private static void start(Runnable work) {
        final Thread thread = new Thread(work, "answering-worker");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                final Peer peer = Peer.accept(server);
                connections.add(peer);
                start(() -> serve(peer));
            }
        } catch (IOException e) {
            // The test has closed the listening socket.
        }
    }

    private void serve(Peer peer) {
        try {
            while (true) {
                final String request = peer.read();
                if (request.startsWith("GET ")) {
                    peer.write(TestNode.answer("200 OK", "X-Load: x0=50,queue=0\r\n", ""));
                    continue;
                }
                jobs.incrementAndGet();
                final Matcher id = ID.matcher(request);
                peer.write(responseToId.apply(id.find() ? id.group(1) : ""));
            }
        } catch (IOException | AssertionError e) {
            // The connection was closed, or a read has timed out.
        }
    }

    private static String served(String id) {
        return TestNode.answer(
                "200 OK", "", "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"yes\"}\n");
    }

    /** The number of jobs received so far. */
    int jobs() {
        return jobs.get();
    }

    /** The number of connections accepted so far. */
    int connections() {
        return connections.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (final Peer each : connections) {
            each.close();
        }
    }
}
