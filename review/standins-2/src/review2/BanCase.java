package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * An operator takes a worker out, and the node says yes. Writes to the folder that lasts fail with
 * ENOSPC for three seconds round the call. From the yes and the grace of 400 ms (and 50 ms more on
 * sockets) on, nothing new may go to the worker.
 */
final class BanCase {
    private static final double GRACE_MS = 400 + 50;
    private static volatile double yesMs = Double.MAX_VALUE;
    private static int late;

    private BanCase() {}

    public static void main(String[] args) {
        Site.main(args, BanCase::run);
    }

    private static synchronized void received(Worker worker, Http.Message request, double firstByteMs) {
        if (worker.id.equals("s-3") && firstByteMs > yesMs + GRACE_MS) {
            late++;
            worker.record.add("BROKEN: %s got %s %.0f ms after the node's yes", worker.id,
                    request.header("X-Request-Id"), firstByteMs - yesMs);
        }
    }

    private static boolean run(Site site) throws Exception {
        for (int i = 1; i <= 8; i++) {
            site.add(new Worker("s-" + i, i / 5, 4, 40, site.record) {
                @Override
                void received(Http.Message request, double firstByteMs) {
                    BanCase.received(this, request, firstByteMs);
                }
            });
        }
        site.writeConfig(Site.SAFE_CLASSES + Site.KEYED_CLASS, "ask");
        site.start(Map.of("BALANCER_MANAGEMENT", site.management));
        final Traffic traffic = new Traffic(site);
        traffic.start(8);
        Thread.sleep(5_000);
        // The file that the operators' state is written to leads to a device that is always full,
        // so that each write fails with ENOSPC. Nothing else in the folder is touched.
        final Path file = site.tmp.resolve("cresschute-operators.new");
        if (site.trouble) {
            Files.createSymbolicLink(file, Path.of("/dev/full"));
            site.record.add("folder: writes fail with ENOSPC from now on");
        }
        Thread.sleep(1_000);
        final String answer = site.call(site.management, "disable-server s-3");
        if (answer == null || !answer.startsWith("200")) {
            throw new Site.CannotRun("the node did not say yes: " + answer);
        }
        yesMs = site.record.ms();
        Thread.sleep(2_000);
        if (site.trouble) {
            Files.delete(file);
            site.record.add("folder: writes work again");
        }
        Thread.sleep(12_000);
        traffic.stop();
        site.record.add("%d attempts began at s-3 after the yes and the grace", late);
        return late == 0;
    }
}
