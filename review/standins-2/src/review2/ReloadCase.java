package review2;

import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;

/**
 * A new configuration makes balance-report a class that must not run twice, and names a new kind of
 * machine. 3 s after SIGHUP ten jobs of the class come; each is lost by its worker after it has
 * started. None of them may run again. Without the disruption the new file names no new kind.
 */
final class ReloadCase {
    private static final String SAFE = "\"name\":\"balance-report\",\"idempotency\":\"pure\"";
    private static final String UNSAFE = "\"name\":\"balance-report\",\"idempotency\":\"side_effect\"";
    private static final String KINDS = "\"hostTypes\":[\"big-5core\",\"std-4core\"]";
    private static final String MORE_KINDS = "\"hostTypes\":[\"big-5core\",\"std-4core\",\"big-8core\"]";
    private static final String OWN = "unsafe-";
    private static final Map<String, String> RAN = new HashMap<>();
    private static int twice;

    private ReloadCase() {}

    public static void main(String[] args) {
        Site.main(args, ReloadCase::run);
    }

    private static synchronized void starts(Worker worker, String job) {
        if (!job.startsWith(OWN)) {
            return;
        }
        final String before = RAN.putIfAbsent(job, worker.id);
        if (before != null) {
            twice++;
            worker.record.add("BROKEN: %s has run at %s, and runs at %s", job, before, worker.id);
        }
    }

    private static boolean run(Site site) throws Exception {
        for (int i = 1; i <= 8; i++) {
            site.add(new Worker("s-" + i, i / 5, 4, 40, site.record) {
                @Override
                void starts(String job) {
                    ReloadCase.starts(this, job);
                }

                @Override
                boolean isLost(Http.Message request) {
                    return request.header("X-Request-Id").startsWith(OWN);
                }
            });
        }
        site.writeConfig(Site.SAFE_CLASSES + Site.KEYED_CLASS, "ask");
        site.start(Map.of());
        final Traffic traffic = new Traffic(site);
        traffic.start(8);
        Thread.sleep(4_000);
        String next = Files.readString(site.config);
        if (!next.contains(SAFE) || !next.contains(KINDS)) {
            throw new Site.CannotRun("the configuration is not as expected");
        }
        next = next.replace(SAFE, UNSAFE);
        if (site.trouble) {
            next = next.replace(KINDS, MORE_KINDS);
        }
        Files.writeString(site.config, next);
        site.node.signal("HUP");
        site.record.add("platform: a new configuration, SIGHUP");
        Thread.sleep(3_000);
        for (int i = 0; i < 10; i++) {
            site.client.send("/balance-report", OWN + UUID.randomUUID(), null, 25_000, "ms=2500");
        }
        traffic.stop();
        site.record.add("%d runs of jobs that had run before", twice);
        return twice == 0;
    }
}
