package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * A sound worker as the protocol page describes it: slots and a queue in order, an answer of lines
 * that tells of the start, of progress every second and of the end, and load reports. It answers
 * 200 when it starts a job, and 503 with X-Not-Run where its queue is full. A body {@code ms=N}
 * states how long a job runs. A client that goes away stops no work.
 */
class Worker {
    final String id;
    final int cell;
    final Record record;
    private final ServerSocket server;
    private final int slots;
    private final int maxWaiting;
    private int running;
    private int waiting;
    private long arrivals;
    private long started;
    private volatile String report = "\"queue\":0,\"x0\":0";

    Worker(String id, int cell, int slots, int maxWaiting, Record record) throws IOException {
        this.id = id;
        this.cell = cell;
        this.slots = slots;
        this.maxWaiting = maxWaiting;
        this.record = record;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        report = measure();
        Threads.start(id, this::accept);
        Threads.start(id + " reports", this::refresh);
    }

    /** Its entry in the list. */
    String entry(String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"zone\":\"nbo-dc1\",\"kind\":\"std-4core\",\"cell\":" + cell + ",\"state\":\""
                + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    private void accept() throws IOException {
        while (true) {
            final Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            final Output out = new Output(socket.getOutputStream());
            while (true) {
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                in.reset();
                final double firstByteMs = record.ms();
                final Http.Message request = Http.read(in);
                if (request.header("X-Request-Id") == null) {
                    answerProbe(request, out);
                } else {
                    record.add("worker %s got %s, first byte at %.1f, %s, key %s, X-Deadline %s", id,
                            request.header("X-Request-Id"), firstByteMs, request.startLine,
                            request.header("Idempotency-Key"), request.header("X-Deadline"));
                    received(request, firstByteMs);
                    handle(request, out);
                }
            }
        }
    }

    private void answerProbe(Http.Message request, Output out) {
        final boolean stats = request.target().equals("/stats");
        final boolean live = request.target().equals("/health/live");
        out.whole(stats || live ? "200 OK" : "404 Not Found", "", stats ? "{" + load() + "}" : "");
    }

    /** Takes a load report every 970 to 1,600 ms, which is told from 120 to 370 ms later on. */
    private void refresh() throws InterruptedException {
        final Random random = new Random(id.hashCode());
        while (true) {
            final String next = measure();
            final long delayMs = 120 + random.nextInt(250);
            Thread.sleep(delayMs);
            report = next;
            Thread.sleep(970 + random.nextInt(630) - delayMs);
        }
    }

    private synchronized String measure() {
        return "\"queue\":" + waiting + ",\"x0\":" + (slots - running);
    }

    /** The load report that is told now, without braces. */
    private String load() {
        return report;
    }

    /** Called for each attempt once its last byte has come. */
    void received(Http.Message request, double firstByteMs) {}

    /** Called when a job starts. */
    void starts(String job) {}

    /** Called after a job was turned away on this connection. */
    void turnedAway(String job, Output out) {}

    /** Whether a job that has started is killed at once and told as {@code lost}. */
    boolean isLost(Http.Message request) {
        return false;
    }

    /** How long a job runs here. */
    long runningMs(Http.Message request) {
        return Long.parseLong(request.text().replaceAll("ms=([0-9]+).*", "$1"));
    }

    /** Answers an attempt. */
    private void handle(Http.Message request, Output out) throws InterruptedException {
        final String job = request.header("X-Request-Id");
        if (!waitForSlot()) {
            record.add("worker %s turns %s away", id, job);
            out.whole("503 Service Unavailable", "X-Not-Run: 1\r\nX-Load: " + load().replace("\"", "").replace(':', '=')
                    + "\r\n", "");
            turnedAway(job, out);
            return;
        }
        try {
            record.add("worker %s runs %s", id, job);
            starts(job);
            out.head();
            line(out, job, "\"state\":\"started\"");
            if (isLost(request)) {
                Thread.sleep(100);
                record.add("worker %s loses %s", id, job);
                line(out, job, "\"state\":\"lost\"");
                out.end();
                return;
            }
            final long ms = runningMs(request);
            long done = 0;
            while (done < ms) {
                final long step = Math.min(1000, ms - done);
                Thread.sleep(step);
                done += step;
                if (done < ms) {
                    line(out, job, "\"state\":\"running\",\"share\":" + (double) done / ms);
                }
            }
            record.add("worker %s has run %s", id, job);
        } finally {
            releaseSlot();
        }
        line(out, job, "\"state\":\"done\",\"result\":\"result of " + job + "\",\"load\":{" + load() + "}");
        out.end();
    }

    /** Waits in order for a slot; returns false at once if the queue is full. */
    private synchronized boolean waitForSlot() throws InterruptedException {
        if (running >= slots && waiting >= maxWaiting) {
            return false;
        }
        final long mine = arrivals++;
        waiting++;
        while (running >= slots || started < mine) {
            wait();
        }
        started++;
        waiting--;
        running++;
        notifyAll();
        return true;
    }

    private synchronized void releaseSlot() {
        running--;
        notifyAll();
    }

    private void line(Output out, String job, String fields) {
        out.chunk("{\"id\":\"" + job + "\",\"from\":\"" + id + "\"," + fields + "}\n");
    }

    /** The worker's side of one connection. */
    static final class Output {
        private final OutputStream out;
        private boolean inAnswer;

        Output(OutputStream out) {
            this.out = out;
        }

        /** Writes a whole answer, unless another one is being written. */
        synchronized void whole(String status, String headers, String body) {
            if (!inAnswer) {
                write("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: "
                        + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
            }
        }

        synchronized void head() {
            inAnswer = true;
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        synchronized void chunk(String text) {
            write(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        synchronized void end() {
            write("0\r\n\r\n");
            inAnswer = false;
        }

        private void write(String text) {
            try {
                out.write(text.getBytes(StandardCharsets.UTF_8));
                out.flush();
            } catch (IOException e) {
                // The node has given the attempt up; the job goes on.
            }
        }
    }
}
