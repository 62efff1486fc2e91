package review2;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Workers with full queues turn jobs of an unsafe class away (503, X-Not-Run). Half of these
 * answers come a second time, 3 to 17 ms after the first. A job that may have run must not run
 * again.
 */
final class SecondAnswerCase {
    private static final int WORKERS = 4;
    private static final int SLOTS = 4;

    /** As in the site files: 4.5 jobs and more wait for each core. */
    private static final int MAX_WAITING = 18;

    private static final double USUAL_PER_S = 60;
    private static final double BURST = 2.3;
    private static final double RUN_MS = 85_000;
    private static final double SECOND_SHARE = 0.5;

    private static final Map<String, String> RAN = new ConcurrentHashMap<>();
    private static int twice;

    private SecondAnswerCase() {}

    public static void main(String[] args) {
        Site.main(args, SecondAnswerCase::run);
    }

    private static synchronized void starts(Worker worker, String job) {
        final String before = RAN.putIfAbsent(job, worker.id);
        if (before != null) {
            twice++;
            worker.record.add("BROKEN: %s has run at %s, and runs at %s", job, before, worker.id);
        }
    }

    private static final class Spoilt extends Worker {
        private final boolean trouble;
        private final Random random;

        Spoilt(Site site, String id) throws Exception {
            super(id, 1, SLOTS, MAX_WAITING, site.record);
            trouble = site.trouble;
            random = new Random(site.random.nextLong());
        }

        @Override
        void turnedAway(String job, Output out) {
            final long lateMs;
            synchronized (random) {
                if (random.nextDouble() >= SECOND_SHARE) {
                    return;
                }
                lateMs = 3 + random.nextInt(15);
            }
            if (trouble) {
                Threads.start("second answer", () -> {
                    Thread.sleep(lateMs);
                    record.add("worker %s answers %s a second time, %d ms after the first", id, job, lateMs);
                    out.whole("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
                });
            }
        }

        @Override
        void starts(String job) {
            SecondAnswerCase.starts(this, job);
        }
    }

    private static boolean run(Site site) throws Exception {
        for (int i = 1; i <= WORKERS; i++) {
            site.add(new Spoilt(site, "s-" + i));
        }
        site.writeConfig(Site.SAFE_CLASSES + Site.UNSAFE_CLASS, "ask");
        site.start(Map.of());
        final Random random = new Random(site.random.nextLong());
        final double startMs = site.record.ms();
        for (int i = 0; site.record.ms() < startMs + RUN_MS; i++) {
            // Traffic jumps to 2.3 times the usual for 10 s, with 5 s in between.
            final boolean burst = (site.record.ms() - startMs) % 15_000 > 5_000;
            final double perS = burst ? BURST * USUAL_PER_S : USUAL_PER_S;
            Thread.sleep((long) Math.min(2_000, -Math.log(1 - random.nextDouble()) * 1000 / perS));
            final String id = String.format("%012x%04x", random.nextLong() & 0xffffffffffffL, i);
            final int ms = 80 + random.nextInt(160);
            Threads.start("client", () -> site.client.send("/submit-nom", id, null, 25_000, "ms=" + ms));
        }
        Thread.sleep(4_000);
        site.record.add("%d jobs of an unsafe class ran twice", twice);
        return twice == 0;
    }
}
