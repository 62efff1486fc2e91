import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send requests with long bodies, half a request after each, and close. The usual
 * clients of a small site go on meanwhile. The node must not end.
 */
final class HalfRequests {

    /** Well under a third of the descriptors, together with the usual clients. */
    private static final int BAD_CONNECTIONS = 120;

    private static final int USUAL_CLIENTS = 24;

    /** A usual client waits this long between two jobs; together they send about 12 a second. */
    private static final int USUAL_PAUSE_MS = 1200;

    /** Under 64 KiB. */
    private static final int BODY_BYTES = 65_000;

    /** The bad client sends all but these bytes of its second request. */
    private static final int MISSING_BYTES = 500;

    /** How long a bad client stays; it is owed a close or an error within 3 s. */
    private static final int BAD_STAY_MS = 1700;

    private static final int WORKERS = 10;
    private static final int SLOTS = 4;
    private static final int QUEUE = 40;
    private static final int TROUBLE_FROM_MS = 3_000;
    private static final int END_MS = 45_000;

    private final Rig rig;
    private final AtomicInteger usualSent = new AtomicInteger();
    private final AtomicInteger usualAnswered = new AtomicInteger();
    private final AtomicInteger usualUnanswered = new AtomicInteger();
    private final AtomicInteger badRequests = new AtomicInteger();
    private final AtomicInteger badHalves = new AtomicInteger();
    private final AtomicInteger badAnswered = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final Map<Worker, AtomicInteger> held = new ConcurrentHashMap<>();
    private volatile boolean ending;

    private HalfRequests(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new HalfRequests(rig).run());
    }

    private int run() throws Exception {
        final List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            workers.add(new Worker(rig, "s-" + i, (i + 1) / 2, this::handle));
        }
        final Discovery discovery = new Discovery(workers);
        final Rig.Node node = rig.startNode("n1", new Config(discovery)::json);
        final long startMs = Rig.nowMs();
        final List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            final int number = i;
            usual.add(Worker.daemon(() -> usualClient(node, number)));
        }
        Thread.sleep(TROUBLE_FROM_MS);
        if (Rig.TROUBLE) {
            rig.log("bad clients begin, " + BAD_CONNECTIONS + " connections");
            for (int i = 0; i < BAD_CONNECTIONS; i++) {
                final int number = i;
                Worker.daemon(() -> badClient(node, number));
            }
        }
        while (node.process().isAlive() && Rig.nowMs() - startMs < END_MS) {
            Thread.sleep(1000);
            logFigures();
        }
        ending = true;
        if (!node.process().isAlive()) {
            Thread.sleep(500);
            logFigures();
            rig.log("the node has ended, exit code " + node.process().exitValue());
            rig.logTail(node, 12);
            return Rig.BROKEN;
        }
        for (final Thread each : usual) {
            each.join(26_000);
        }
        logFigures();
        rig.logTail(node, 6);
        return node.process().isAlive() ? Rig.HELD : Rig.BROKEN;
    }

    private void logFigures() {
        rig.log(
                String.format(
                        "usual clients: %d sent, %d answered, %d cut off; bad clients: %d whole"
                                + " requests, %d halves, %d answers; workers: %d runs",
                        usualSent.get(),
                        usualAnswered.get(),
                        usualUnanswered.get(),
                        badRequests.get(),
                        badHalves.get(),
                        badAnswered.get(),
                        runs.get()));
    }

    private void usualClient(Rig.Node node, int number) throws Exception {
        final String jobClass = number % 2 == 0 ? "status-check" : "balance-report";
        Thread.sleep(USUAL_PAUSE_MS * number / USUAL_CLIENTS);
        Client client = null;
        for (int i = 0; !ending; i++) {
            final String id = String.format("u%03x%012x", number, i);
            boolean sent = false;
            try {
                if (client == null) {
                    client = new Client(node.address());
                }
                client.send(Client.request(jobClass, id, 10_000, null, "{\"job\":" + i + "}"));
                sent = true;
                rig.record("client " + id + " " + jobClass + " sent");
                usualSent.incrementAndGet();
                final int status = client.read(11_000).status();
                usualAnswered.incrementAndGet();
                rig.record("client " + id + " " + jobClass + " answered " + status);
            } catch (IOException e) {
                if (sent) {
                    usualUnanswered.incrementAndGet();
                }
                rig.record("client " + id + " " + jobClass + (sent ? " cut off: " : ": ") + e);
                client = null;
            }
            Thread.sleep(USUAL_PAUSE_MS);
        }
    }

    private void badClient(Rig.Node node, int number) throws Exception {
        final String body = "x".repeat(BODY_BYTES);
        for (int i = 0; !ending; i++) {
            try (Client client = new Client(node.address())) {
                final String key = "k" + number + "-" + i;
                final String whole =
                        Client.request(
                                "submit-nom",
                                String.format("b%03x%012x", number, i),
                                25_000,
                                key,
                                body);
                final String half =
                        Client.request(
                                "submit-nom",
                                String.format("h%03x%012x", number, i),
                                25_000,
                                "h" + key,
                                body);
                client.send(whole);
                badRequests.incrementAndGet();
                rig.record(String.format("bad client b%03x%012x sent", number, i));
                client.send(half.substring(0, half.length() - MISSING_BYTES));
                badHalves.incrementAndGet();
                rig.record(String.format("bad client h%03x%012x sent but for its end", number, i));
                final long endMs = Rig.nowMs() + BAD_STAY_MS;
                final int status = client.read(BAD_STAY_MS).status();
                rig.record(String.format("bad client b%03x%012x answered %d", number, i, status));
                badAnswered.incrementAndGet();
                Thread.sleep(Math.max(0, endMs - Rig.nowMs()));
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    /** A worker with some slots and a waiting room; beyond these it turns jobs away. */
    private void handle(Worker worker, Http.Message request, Worker.Connection connection)
            throws Exception {
        final String id = request.header("X-Request-Id");
        final AtomicInteger jobs = held.computeIfAbsent(worker, unseen -> new AtomicInteger());
        if (jobs.incrementAndGet() > SLOTS + QUEUE) {
            jobs.decrementAndGet();
            connection.write(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                            + "Content-Length: 0\r\n\r\n");
            return;
        }
        try {
            connection.write(Worker.Connection.head());
            synchronized (worker) {
                while (worker.running >= SLOTS) {
                    worker.wait();
                }
                worker.running++;
            }
            try {
                runs.incrementAndGet();
                rig.record(worker.id + " runs " + id);
                connection.write(connection.chunk(id, "started", ""));
                final int runMs = request.target().startsWith("/status-check") ? 800 : 3000;
                for (int ms = 1000; ms < runMs; ms += 1000) {
                    Thread.sleep(1000);
                    connection.write(
                            connection.chunk(id, "running", ",\"share\":0." + ms * 10 / runMs));
                }
                Thread.sleep(runMs <= 1000 ? runMs : 1000);
            } finally {
                synchronized (worker) {
                    worker.running--;
                    worker.notify();
                }
            }
            connection.write(connection.done(id));
        } finally {
            jobs.decrementAndGet();
        }
    }
}
