import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The configuration of a node of a small site: two machine kinds, a zone, three classes. */
final class Config {

    /** A class of requests, with the fields that the cases set. */
    record JobClass(
            String name, String effect, String group, long goalUs, long deadlineUs, long keyTtlUs,
            double worth) {

        JobClass withEffect(String other) {
            return new JobClass(name, other, group, goalUs, deadlineUs, keyTtlUs, worth);
        }

        JobClass withDeadline(long otherUs) {
            return new JobClass(name, effect, group, goalUs, otherUs, keyTtlUs, worth);
        }

        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"idempotency\":\"%s\",\"group\":\"%s\",\"goalTimeUs\":%d,"
                            + "\"deadlineUs\":%d,\"keyTtlUs\":%d,\"worth\":%.1f,\"lateWorth\":0.0,"
                            + "\"stream\":false}",
                    name, effect, group, goalUs, deadlineUs, keyTtlUs, worth);
        }
    }

    final Discovery discovery;
    final List<JobClass> classes = new ArrayList<>();
    long connectTimeoutUs = 250_000;
    boolean probing;
    boolean parallelTries = true;
    int memoryMb = 192;
    int sockets = 1024;

    Config(Discovery discovery) {
        this.discovery = discovery;
        classes.add(
                new JobClass("status-check", "pure", "all", 400_000, 10_000_000, 5_000_000, 2));
        classes.add(
                new JobClass("balance-report", "pure", "all", 1_500_000, 25_000_000, 5_000_000, 1));
        classes.add(
                new JobClass("submit-nom", "token", "cell", 4_000_000, 25_000_000, 40_000_000, 5));
    }

    String json(String listen) {
        final StringBuilder all = new StringBuilder();
        for (final JobClass each : classes) {
            all.append(all.length() == 0 ? "" : ",").append(each.json());
        }
        final int count = classes.size();
        return "{\"name\":\"n1\",\"listen\":\""
                + listen
                + "\",\"discovery\":\""
                + discovery.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb
                + ",\"sockets\":"
                + sockets
                + "},\"known\":"
                + discovery.list()
                + ",\"settings\":{\"balancers\":1,\"callers\":{\"marksRetry\":false},\"classes\":["
                + all
                + "],\"extra\":{\"classKind\":["
                + "-1,".repeat(count - 1)
                + "-1],\"classPriority\":["
                + "0,".repeat(count - 1)
                + "0],\"classStretch\":["
                + "2.5,".repeat(count - 1)
                + "2.5],\"progressUs\":1000000,\"queueOrder\":\"fifo\",\"reportX0\":\"free_slots\","
                + "\"tellsStart\":true},\"family\":\"jobs\",\"goal\":{\"whole\":0.65,"
                + "\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.15},"
                + "\"hostTypes\":[\"big-5core\",\"std-4core\"],\"limits\":{\"cancelling\":true,"
                + "\"connIdleUs\":10000000,\"connectTimeoutUs\":"
                + connectTimeoutUs
                + ",\"cpuUsPerS\":30000,\"maxAttempts\":5,\"maxOpen\":40000,"
                + "\"maxRetryAfterUs\":2000000,\"parallelTries\":"
                + parallelTries
                + ",\"peerMessages\":false,\"probing\":"
                + probing
                + ",\"retryAfter\":true,\"streamsPerConn\":1},\"me\":0,\"membershipMode\":\"ask\","
                + "\"myZone\":0,\"overShareWorth\":0.1,\"prices\":{\"connection\":0.0,"
                + "\"crossZone\":0.0,\"handshake\":0.0,\"lateFail\":0.03,\"probe\":0.0039,"
                + "\"waste\":0.03},\"report\":{\"fields\":[],\"how\":\"off\"},\"roundUs\":5000,"
                + "\"rules\":{\"answerSlackUs\":20000,\"askWithinUs\":10000000,\"coldFrom\":0.32,"
                + "\"drainGraceUs\":400000,\"overloadFactor\":3.0,\"tipAfterUs\":1000000,"
                + "\"warmWithinUs\":8800000},\"tenants\":[],\"tier\":0,\"tiers\":[\"nom-workers\"],"
                + "\"weightSource\":\"nominal\",\"worthBy\":\"request\",\"zones\":[\"nbo-dc1\"]}}";
    }
}
