import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/** A stand-in for discovery with a list that does not change: watches wait and bring no change. */
final class Discovery {

    private static final int VERSION = 41;

    private final ServerSocket server;
    private final List<Worker> workers;

    Discovery(List<Worker> workers) throws IOException {
        this.workers = List.copyOf(workers);
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Worker.daemon(
                () -> {
                    while (true) {
                        final Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        Worker.daemon(() -> serve(socket));
                    }
                });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    String list() {
        return String.format(
                "{\"version\":%d,\"full\":true,\"servers\":[%s]}",
                VERSION, workers.stream().map(Worker::json).collect(Collectors.joining(",")));
    }

    private void serve(Socket socket) throws Exception {
        final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            final String target = Http.readRequest(in).target();
            String body = list();
            if (target.contains("since=" + VERSION)) {
                Thread.sleep(Long.parseLong(target.replaceAll(".*timeout_ms=([0-9]+).*", "$1")));
                body = "{\"version\":" + VERSION + ",\"full\":false,\"servers\":[]}";
            }
            final String answer =
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }
    }
}
