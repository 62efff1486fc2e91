package cresschute.testbed.bodies;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * A site for long bodies: workers that receive and produce them, and the settings of a node in
 * front of them.
 */
final class BodiesSite implements AutoCloseable {

    /**
     * The buffer budget of all long bodies and results together, bytes; docs and charts state it.
     */
    static final long BUDGET = 32L << 20;

    /** The buffer window of each long body or result, bytes. */
    static final long WINDOW = 128L << 10;

    private final List<BodyWorker> workers = new ArrayList<>();
    private final Map<String, LongAdder> runs = new ConcurrentHashMap<>();
    private final LongAdder corruptedBodies = new LongAdder();

    BodiesSite(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            workers.add(new BodyWorker(runs, corruptedBodies));
        }
    }

    InetSocketAddress anyWorker() {
        return workers.get(0).address();
    }

    /** Writes the settings of the node; small requests have separate workers. */
    void writeSettings(Path script, List<InetSocketAddress> forSmall) throws IOException {
        final StringBuilder site =
                new StringBuilder(
                        """
                        node(name = "bodies", listen = "127.0.0.1:0", seed = 1)
                        job_class(name = "small", worth = 1, aim = 1 * s, deadline = 5 * s, effect = "safe",
                                  kinds = ["quick"])
                        job_class(name = "upload", worth = 1, aim = 2 * s, stretch = 5, deadline = 1 * hours,
                                  effect = "unsafe", kinds = ["long"], longest_body = 4 * GiB,
                                  least_rate = 512 * B, stall = 20 * s)
                        job_class(name = "report", worth = 1, aim = 2 * s, stretch = 5, deadline = 1 * hours,
                                  effect = "unsafe", kinds = ["long"], long_results = True,
                                  deadline_to = "first",
                                  least_rate = 512 * B, stall = 20 * s)
                        bodies(budget = %d * B, window = %d * B, of_a_client = %d * B)
                        limits(sockets = 8192)
                        """
                                .formatted(BUDGET, WINDOW, BUDGET));
        int number = 0;
        for (final BodyWorker each : workers) {
            worker(site, "l" + ++number, each.address(), "long");
        }
        for (final InetSocketAddress each : forSmall) {
            worker(site, "q" + ++number, each, "quick");
        }
        Files.writeString(script, site);
    }

    private static void worker(StringBuilder site, String id, InetSocketAddress at, String kind) {
        site.append("worker(id = \"")
                .append(id)
                .append("\", address = \"127.0.0.1:")
                .append(at.getPort())
                .append("\", kind = \"")
                .append(kind)
                .append("\")\n");
    }

    /**
     * Returns the violations: jobs that ran more than once, and bodies that arrived with a wrong
     * byte.
     */
    List<String> violations() {
        final List<String> violations = new ArrayList<>();
        runs.forEach(
                (id, count) -> {
                    if (count.sum() > 1) {
                        violations.add(id + " ran " + count.sum() + " times");
                    }
                });
        if (corruptedBodies.sum() > 0) {
            violations.add(corruptedBodies.sum() + " bodies arrived with a wrong byte");
        }
        return violations;
    }

    /** Returns whether the complete body of this job arrived at a worker. */
    boolean ran(String id) {
        return runs.containsKey(id);
    }

    @Override
    public void close() throws IOException {
        for (final BodyWorker each : workers) {
            each.close();
        }
    }
}
