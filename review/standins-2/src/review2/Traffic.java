package review2;

import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;

/** The clients' jobs: arrivals at random times, classes and running times as in the brief. */
final class Traffic {
    /** The mean running time of its jobs. */
    static final double MEAN_MS = 0.49 * 830 + 0.27 * 3_250 + 0.24 * 4_950;

    private final Site site;
    private final Random random;
    private volatile boolean stopped;
    private int count;

    /** The status of each answer by request id; 0 for none. */
    final Map<String, Integer> answers = new ConcurrentHashMap<>();

    Traffic(Site site) {
        this.site = site;
        random = new Random(site.random.nextLong());
    }

    /** Sends this many jobs a second until {@link #stop}. */
    void start(double perS) {
        Threads.start("traffic", () -> {
            while (!stopped) {
                Thread.sleep((long) Math.min(2_000, -Math.log(1 - random.nextDouble()) * 1000 / perS));
                final String id = String.format("%016x", random.nextLong()).substring(0, 12)
                        + String.format("%04x", count++);
                final double which = random.nextDouble();
                if (which < 0.49) {
                    send("status-check", id, null, 10_000, 560 + random.nextInt(540));
                } else if (which < 0.76) {
                    send("balance-report", id, null, 25_000, 2_200 + random.nextInt(2_100));
                } else {
                    send("submit-nom", id, String.format("%032x", random.nextLong()), 25_000,
                            3_400 + random.nextInt(3_100));
                }
            }
        });
    }

    private void send(String name, String id, String key, long deadlineMs, long runMs) {
        Threads.start("client " + id, () -> {
            final Http.Message answer = site.client.send("/" + name, id, key, deadlineMs, "ms=" + runMs);
            answers.put(id, answer == null ? 0 : answer.status());
        });
    }

    void stop() {
        stopped = true;
    }
}
