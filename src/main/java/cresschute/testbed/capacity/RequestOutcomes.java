package cresschute.testbed.capacity;

import cresschute.testbed.LoadClients;
import cresschute.testbed.Observation;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestLost;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RequestUnanswered;
import cresschute.testbed.Observation.RunStarted;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests whose first try was sent within a span of time: the share that was
 * served in the end, how soon urgent work started, and how gangs were admitted. Pure.
 */
final class RequestOutcomes {

    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final long MAX_START_US = TimeUnit.MINUTES.toMicros(30);
    private static final int DIGITS = 3;

    /** One request with all of its tries. */
    private static final class Tracked {
        private final String origin;
        private final String className;
        private final long sentUs;
        private int tries;
        private int refusals;
        private boolean firstRefused;
        private boolean served;
        private boolean failed;
        private boolean unanswered;
        private long startedUs = Long.MAX_VALUE;

        Tracked(RequestSent first) {
            origin = first.origin();
            className = first.className();
            sentUs = first.us();
        }

        boolean refused() {
            return !served && !failed && !unanswered && refusals == tries;
        }
    }

    private final Map<String, Tracked> byOrigin = new LinkedHashMap<>();
    private final Map<String, Tracked> byId = new HashMap<>();
    private final Histogram urgentStarts = new Histogram(MAX_START_US, DIGITS);
    private final List<Tracked> counted = new ArrayList<>();
    private int urgentNotStarted;
    private int unansweredAll;

    private RequestOutcomes() {}

    static RequestOutcomes of(List<Observation> seen, long fromUs, long toUs) {
        final RequestOutcomes outcomes = new RequestOutcomes();
        // Requests first: a client may note its sending later than a worker notes the start.
        seen.stream()
                .filter(RequestSent.class::isInstance)
                .map(RequestSent.class::cast)
                .forEach(outcomes::register);
        seen.forEach(outcomes::take);
        outcomes.count(fromUs, toUs);
        return outcomes;
    }

    private void register(RequestSent sent) {
        byId.put(sent.id(), byOrigin.computeIfAbsent(sent.origin(), unseen -> new Tracked(sent)));
    }

    private void take(Observation each) {
        if (each instanceof RequestSent sent) {
            byId.get(sent.id()).tries++;
        } else if (each instanceof RequestAnswered answer && byId.containsKey(answer.id())) {
            answered(byId.get(answer.id()), answer);
        } else if (each instanceof RequestUnanswered none) {
            unanswered(none.id());
        } else if (each instanceof RequestLost lost) {
            unanswered(lost.id());
        } else if (each instanceof RunStarted run && byId.containsKey(run.id())) {
            final Tracked tracked = byId.get(run.id());
            tracked.startedUs = Math.min(tracked.startedUs, run.us());
        }
    }

    private static void answered(Tracked tracked, RequestAnswered answer) {
        if (answer.status() == LoadClients.OK) {
            tracked.served = true;
        } else if (answer.status() == UNAVAILABLE || answer.status() == TOO_MANY) {
            tracked.refusals++;
            tracked.firstRefused |= tracked.tries == 1;
        } else {
            tracked.failed = true;
        }
    }

    private void unanswered(String id) {
        unansweredAll++;
        if (byId.containsKey(id)) {
            byId.get(id).unanswered = true;
        }
    }

    private void count(long fromUs, long toUs) {
        for (final Tracked each : byOrigin.values()) {
            if (each.sentUs >= fromUs && each.sentUs < toUs) {
                counted.add(each);
                if (each.className.equals(ExperimentSetup.URGENT)) {
                    countUrgent(each);
                }
            }
        }
    }

    private void countUrgent(Tracked each) {
        if (each.startedUs == Long.MAX_VALUE) {
            urgentNotStarted++;
        } else {
            urgentStarts.recordValue(
                    Math.max(0, Math.min(MAX_START_US, each.startedUs - each.sentUs)));
        }
    }

    int requests() {
        return counted.size();
    }

    /** Of all that was observed, not of the span alone. */
    int unanswered() {
        return unansweredAll;
    }

    double servedShare() {
        return share(counted.stream().filter(each -> each.served).count());
    }

    /** Those whose every try was refused. */
    double refusedShare() {
        return share(counted.stream().filter(Tracked::refused).count());
    }

    /** Those whose first try was refused, whatever came of the next. */
    double firstRefusedShare() {
        return share(counted.stream().filter(each -> each.firstRefused).count());
    }

    private double share(long count) {
        return counted.isEmpty() ? 0 : (double) count / counted.size();
    }

    double retriesPerRequest() {
        return counted.isEmpty()
                ? 0
                : counted.stream().mapToInt(each -> each.tries - 1).sum() / (double) counted.size();
    }

    /** When urgent jobs started, ms after their first try; NaN where none did. */
    double urgentStartMs(double percentile) {
        return urgentStarts.getTotalCount() == 0
                ? Double.NaN
                : urgentStarts.getValueAtPercentile(percentile) / 1e3;
    }

    int urgentNotStarted() {
        return urgentNotStarted;
    }

    /** Gangs by what became of their first tries: all taken, some refused, all refused. */
    int[] gangs() {
        final Map<String, int[]> gangs = new LinkedHashMap<>();
        for (final Tracked each : counted) {
            if (each.origin.startsWith(StubClients.GANG)) {
                final String gang =
                        each.origin.substring(
                                0, each.origin.indexOf('-', StubClients.GANG.length()));
                final int[] members = gangs.computeIfAbsent(gang, unseen -> new int[2]);
                members[0]++;
                members[1] += each.firstRefused ? 1 : 0;
            }
        }
        final int[] kinds = new int[3];
        gangs.values()
                .forEach(members -> kinds[members[1] == 0 ? 0 : members[1] < members[0] ? 1 : 2]++);
        return kinds;
    }
}
