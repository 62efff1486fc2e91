package review2;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Discovery is slow: each answer goes out 2.8 s later than at once. Workers are replaced in steps:
 * every 4 s or so one begins to drain, and another one joins. From 6 s after discovery had a drain,
 * and the grace of 400 ms (and 50 ms more on sockets) on, nothing new may go to that worker.
 */
final class SlowDiscoveryCase {
    private static final long DELAY_MS = 2_800;
    private static final double TOLD_MS = 6_000;
    private static final double GRACE_MS = 400 + 50;
    private static final int STEPS = 22;
    private static final Map<String, Double> DRAINED_MS = new ConcurrentHashMap<>();
    private static int late;

    private SlowDiscoveryCase() {}

    public static void main(String[] args) {
        Site.main(args, SlowDiscoveryCase::run);
    }

    private static synchronized void received(Worker worker, Http.Message request, double firstByteMs) {
        final Double drainedMs = DRAINED_MS.get(worker.id);
        if (drainedMs != null && firstByteMs > drainedMs + TOLD_MS + GRACE_MS) {
            late++;
            worker.record.add("BROKEN: %s got %s %.0f ms after discovery had its drain", worker.id,
                    request.header("X-Request-Id"), firstByteMs - drainedMs);
        }
    }

    private static Worker worker(Site site, int number) throws Exception {
        return new Worker("s-" + number, number % 2, 4, 40, site.record) {
            @Override
            void received(Http.Message request, double firstByteMs) {
                SlowDiscoveryCase.received(this, request, firstByteMs);
            }
        };
    }

    private static boolean run(Site site) throws Exception {
        for (int i = 1; i <= 10; i++) {
            site.add(worker(site, i));
        }
        site.writeConfig(Site.SAFE_CLASSES + Site.KEYED_CLASS, "ask");
        site.start(Map.of());
        final Traffic traffic = new Traffic(site);
        traffic.start(10);
        Thread.sleep(4_000);
        if (site.trouble) {
            site.discovery.delayMs = DELAY_MS;
        }
        for (int i = 1; i <= STEPS; i++) {
            Thread.sleep(3_000 + site.random.nextInt(2_000));
            final Worker old = site.workers.get(i - 1);
            site.discovery.set(old, "DRAINING", 0);
            DRAINED_MS.put(old.id, site.record.ms());
            final Worker joining = worker(site, 10 + i);
            site.workers.add(joining);
            site.discovery.set(joining, "SERVING", System.currentTimeMillis());
        }
        Thread.sleep(10_000);
        traffic.stop();
        site.record.add("%d attempts began at a draining worker after 6 s and the grace", late);
        return late == 0;
    }
}
