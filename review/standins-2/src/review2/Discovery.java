package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery as the protocol page describes it: the whole list, and a watch on changes. */
final class Discovery {
    private final ServerSocket server;
    private final Record record;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<Long, String> changes = new TreeMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private long version = 1;

    /** How much later than at once each answer goes out, ms. */
    volatile long delayMs;

    Discovery(Record record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lists a worker, or changes its entry. */
    synchronized void set(Worker worker, String state, long startedMs) {
        entries.put(worker.id, worker.entry(state, startedMs));
        changes.put(++version, worker.id);
        record.add("discovery: %s is %s, started_ms %d, version %d", worker.id, state, startedMs, version);
        notifyAll();
    }

    /** The whole list. */
    synchronized String list() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":["
                + String.join(",", entries.values()) + "]}";
    }

    /** The number of calls so far. */
    int calls() {
        return calls.get();
    }

    private synchronized String since(long held, long waitMs) throws InterruptedException {
        final long untilNs = System.nanoTime() + waitMs * 1_000_000;
        while (version <= held && System.nanoTime() < untilNs) {
            wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
        }
        final Map<String, String> changed = new LinkedHashMap<>();
        changes.forEach((at, id) -> {
            if (at > held) {
                changed.put(id, entries.get(id));
            }
        });
        return "{\"version\":" + version + ",\"full\":false,\"servers\":["
                + String.join(",", changed.values()) + "]}";
    }

    private void accept() throws IOException {
        while (true) {
            final Socket socket = server.accept();
            Threads.start("discovery call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                final String target = call.target();
                calls.incrementAndGet();
                record.add("discovery has a call: %s", target);
                final String body = target.contains("since=")
                        ? since(number(target, "since"), number(target, "timeout_ms"))
                        : list();
                Thread.sleep(delayMs);
                final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.flush();
                record.add("discovery has answered: %s", body.substring(0, Math.min(60, body.length())));
            }
        }
    }

    private static long number(String target, String name) {
        return Long.parseLong(target.replaceAll(".*[?&]" + name + "=([0-9]+).*", "$1"));
    }
}
