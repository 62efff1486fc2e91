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
 * Outcomes of the requests whose first try was sent within a time span: the fraction that was
 * finally served, the time until urgent requests started, and the admission of gangs. Does no I/O.
 */
final class RequestOutcomes {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MAX_START_US = TimeUnit.MINUTES.toMicros(30);
    private static final int HISTOGRAM_DIGITS = 3;

    /** One request with all its tries: the first one and the retries of the client. */
    private static final class TrackedRequest {
        private final String origin;
        private final String className;
        private final long sentUs;
        private int tries;
        private int rejections;
        private boolean firstRejected;
        private boolean served;
        private boolean failed;
        private boolean unanswered;
        private long startedUs = Long.MAX_VALUE;

        TrackedRequest(RequestSent first) {
            origin = first.origin();
            className = first.className();
            sentUs = first.us();
        }

        boolean isRejected() {
            return !served && !failed && !unanswered && rejections == tries;
        }
    }

    private final Map<String, TrackedRequest> byOrigin = new LinkedHashMap<>();
    private final Map<String, TrackedRequest> byId = new HashMap<>();
    private final Histogram urgentStarts = new Histogram(MAX_START_US, HISTOGRAM_DIGITS);
    private final List<TrackedRequest> countedRequests = new ArrayList<>();
    private int urgentNotStarted;
    private int unansweredTotal;

    private RequestOutcomes() {}

    static RequestOutcomes of(List<Observation> observations, long fromUs, long toUs) {
        final RequestOutcomes outcomes = new RequestOutcomes();
        // Requests first: a client may record the send later than a worker records the start.
        observations.stream()
                .filter(RequestSent.class::isInstance)
                .map(RequestSent.class::cast)
                .forEach(outcomes::register);
        observations.forEach(outcomes::observe);
        outcomes.count(fromUs, toUs);
        return outcomes;
    }

    private void register(RequestSent sent) {
        byId.put(
                sent.id(),
                byOrigin.computeIfAbsent(sent.origin(), unseen -> new TrackedRequest(sent)));
    }

    private void observe(Observation each) {
        if (each instanceof RequestSent sent) {
            byId.get(sent.id()).tries++;
        } else if (each instanceof RequestAnswered answer && byId.containsKey(answer.id())) {
            answered(byId.get(answer.id()), answer);
        } else if (each instanceof RequestUnanswered none) {
            unanswered(none.id());
        } else if (each instanceof RequestLost lost) {
            unanswered(lost.id());
        } else if (each instanceof RunStarted run && byId.containsKey(run.id())) {
            final TrackedRequest request = byId.get(run.id());
            request.startedUs = Math.min(request.startedUs, run.us());
        }
    }

    private static void answered(TrackedRequest request, RequestAnswered answer) {
        if (answer.status() == LoadClients.OK) {
            request.served = true;
        } else if (answer.status() == SERVICE_UNAVAILABLE || answer.status() == TOO_MANY_REQUESTS) {
            request.rejections++;
            request.firstRejected |= request.tries == 1;
        } else {
            request.failed = true;
        }
    }

    private void unanswered(String id) {
        unansweredTotal++;
        if (byId.containsKey(id)) {
            byId.get(id).unanswered = true;
        }
    }

    private void count(long fromUs, long toUs) {
        for (final TrackedRequest each : byOrigin.values()) {
            if (each.sentUs >= fromUs && each.sentUs < toUs) {
                countedRequests.add(each);
                if (each.className.equals(ExperimentSetup.URGENT)) {
                    countUrgent(each);
                }
            }
        }
    }

    private void countUrgent(TrackedRequest each) {
        if (each.startedUs == Long.MAX_VALUE) {
            urgentNotStarted++;
        } else {
            urgentStarts.recordValue(
                    Math.max(0, Math.min(MAX_START_US, each.startedUs - each.sentUs)));
        }
    }

    int requests() {
        return countedRequests.size();
    }

    /** Unanswered tries among all observations, not only those of the time span. */
    int unanswered() {
        return unansweredTotal;
    }

    double servedFraction() {
        return share(countedRequests.stream().filter(each -> each.served).count());
    }

    /** The fraction of requests of which every try was rejected. */
    double rejectedFraction() {
        return share(countedRequests.stream().filter(TrackedRequest::isRejected).count());
    }

    /** The fraction of requests of which the first try was rejected, whatever followed. */
    double firstRejectedFraction() {
        return share(countedRequests.stream().filter(each -> each.firstRejected).count());
    }

    private double share(long count) {
        return countedRequests.isEmpty() ? 0 : (double) count / countedRequests.size();
    }

    double retriesPerRequest() {
        return countedRequests.isEmpty()
                ? 0
                : countedRequests.stream().mapToInt(each -> each.tries - 1).sum()
                        / (double) countedRequests.size();
    }

    /**
     * Percentile of the time from first try to start of urgent requests, ms; NaN if none started.
     */
    double urgentStartMs(double percentile) {
        return urgentStarts.getTotalCount() == 0
                ? Double.NaN
                : urgentStarts.getValueAtPercentile(percentile) / 1e3;
    }

    int urgentNotStarted() {
        return urgentNotStarted;
    }

    /** Number of gangs by their first tries: all admitted, some rejected, all rejected. */
    int[] gangs() {
        final Map<String, int[]> gangs = new LinkedHashMap<>();
        for (final TrackedRequest each : countedRequests) {
            if (each.origin.startsWith(StubClients.GANG_ID_PREFIX)) {
                final String gang =
                        each.origin.substring(
                                0, each.origin.indexOf('-', StubClients.GANG_ID_PREFIX.length()));
                final int[] members = gangs.computeIfAbsent(gang, unseen -> new int[2]);
                members[0]++;
                members[1] += each.firstRejected ? 1 : 0;
            }
        }
        final int[] outcomes = new int[3];
        gangs.values()
                .forEach(
                        members ->
                                outcomes[members[1] == 0 ? 0 : members[1] < members[0] ? 1 : 2]++);
        return outcomes;
    }
}
