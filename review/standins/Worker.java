import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a worker: a thread for each connection; a handler answers each request. */
final class Worker {

    final String id;
    final int cell;
    final Rig rig;
    private final ServerSocket server;
    private final Handler handler;
    volatile String state = "SERVING";

    /** The jobs that run now; guarded by this worker. */
    int running;

    /** Answers one request; runs on the thread of its connection. */
    interface Handler {
        void handle(Worker worker, Http.Message request, Connection connection) throws Exception;
    }

    Worker(Rig rig, String id, int cell, Handler handler) throws IOException {
        this(rig, id, cell, 50, handler);
        accept();
    }

    /** Creates a worker that accepts no connection until {@link #accept} is called. */
    Worker(Rig rig, String id, int cell, int backlog, Handler handler) throws IOException {
        this.rig = rig;
        this.id = id;
        this.cell = cell;
        this.handler = handler;
        server = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String json() {
        return String.format(
                "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"nbo-dc1\",\"kind\":\"std-4core\","
                        + "\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
                id, server.getLocalPort(), cell, state);
    }

    void accept() {
        daemon(
                () -> {
                    while (true) {
                        final Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(() -> serve(socket));
                    }
                });
    }

    private void serve(Socket socket) throws Exception {
        final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        final Connection connection = new Connection(this, socket);
        try {
            while (!socket.isClosed()) {
                handler.handle(this, Http.readRequest(in), connection);
            }
        } catch (IOException e) {
            socket.close();
        }
    }

    interface Body {
        void run() throws Exception;
    }

    static Thread daemon(Body body) {
        final Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The answering side of a connection. */
    static final class Connection {

        private final Worker worker;
        final Socket socket;
        private final OutputStream out;

        Connection(Worker worker, Socket socket) throws IOException {
            this.worker = worker;
            this.socket = socket;
            out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** The head of an answer of lines: the worker has taken the job. */
        static String head() {
            return "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
        }

        /** A line as one chunk; {@code more} is further JSON, with a comma before it. */
        String chunk(String requestId, String state, String more) {
            final String line =
                    String.format(
                            "{\"id\":\"%s\",\"from\":\"%s\",\"state\":\"%s\"%s}\n",
                            requestId, worker.id, state, more);
            return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
        }

        static String end() {
            return "0\r\n\r\n";
        }

        /** The last line of a job that was served, and the end of the answer. */
        String done(String requestId) {
            return chunk(requestId, "done", ",\"result\":\"" + requestId + "\"") + end();
        }

        /** Ends the connection by a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
