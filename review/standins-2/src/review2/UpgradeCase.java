package review2;

import java.io.IOException;
import java.util.Map;
import java.util.Set;

/**
 * Half of the workers have begun to drain since the node's start. Then the node is upgraded, while
 * discovery is slow: each answer goes out 2.8 s later than at once. From 2 s after the new process
 * says yes, and the grace of 400 ms (and 50 ms more on sockets) on, nothing new may go to them.
 */
final class UpgradeCase {
    private static final long DELAY_MS = 2_800;
    private static final double TOLD_MS = 2_000;
    private static final double GRACE_MS = 400 + 50;
    private static final Set<String> DRAINING = Set.of("s-1", "s-2", "s-3", "s-4");
    private static volatile double yesMs = Double.MAX_VALUE;
    private static int late;

    private UpgradeCase() {}

    public static void main(String[] args) {
        Site.main(args, UpgradeCase::run);
    }

    private static synchronized void received(Worker worker, Http.Message request, double firstByteMs) {
        if (DRAINING.contains(worker.id) && firstByteMs > yesMs + TOLD_MS + GRACE_MS) {
            late++;
            worker.record.add("BROKEN: %s got %s %.0f ms after the new process's yes", worker.id,
                    request.header("X-Request-Id"), firstByteMs - yesMs);
        }
    }

    private static boolean run(Site site) throws Exception {
        for (int i = 1; i <= 9; i++) {
            site.add(new Worker("s-" + i, i % 2, 4, 40, site.record) {
                @Override
                void received(Http.Message request, double firstByteMs) {
                    UpgradeCase.received(this, request, firstByteMs);
                }
            });
        }
        site.writeConfig(Site.SAFE_CLASSES + Site.KEYED_CLASS, "ask");
        site.start(Map.of("BALANCER_PASSED_SOCKET", "0", "BALANCER_MANAGEMENT", site.management));
        final Traffic traffic = new Traffic(site);
        traffic.start(10);
        Thread.sleep(3_000);
        for (int i = 0; i < 4; i++) {
            site.discovery.set(site.workers.get(i), "DRAINING", 0);
        }
        Thread.sleep(9_000);
        if (site.trouble) {
            site.discovery.delayMs = DELAY_MS;
        }
        final String second = "127.0.0.1:" + Site.freePort();
        final Node old = site.node;
        site.node = site.newNode(Map.of("BALANCER_PASSED_SOCKET", "0", "BALANCER_MANAGEMENT", second));
        awaitYes(site, second);
        yesMs = site.record.ms();
        old.terminate();
        site.record.add("platform: SIGTERM to the old process");
        Thread.sleep(3_700);
        old.kill();
        Thread.sleep(6_000);
        traffic.stop();
        site.record.add("%d attempts began at a draining worker after 2 s and the grace", late);
        return late == 0;
    }

    private static void awaitYes(Site site, String address) throws Exception {
        for (int i = 0; i < 120; i++) {
            try {
                final String answer = site.call(address, "ready");
                if (answer != null && answer.startsWith("200")) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new Site.CannotRun("the new process did not say yes within 6 s");
    }
}
