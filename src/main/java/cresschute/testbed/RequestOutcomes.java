package cresschute.testbed;

import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestLost;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RequestUnanswered;
import cresschute.testbed.Observation.RequestUnfinished;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What became of the jobs that clients asked for, a client's retries counted as part of its first
 * try. Pure: it reads the observations alone.
 */
public final class RequestOutcomes {

    private static final long MAX_LATENCY_US = 3_600_000_000L;
    private static final int DIGITS = 3;
    private static final int REFUSED = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    /** How a job ended, as its last try did. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        UNANSWERED,
        UNFINISHED
    }

    /** What became of one class. */
    public static final class OfClass {

        private final Map<End, Integer> ends = new HashMap<>();
        private final Histogram servedUs = new Histogram(MAX_LATENCY_US, DIGITS);
        private int inTime;
        private int asked;
        private double priorityWeightAsked;
        private double weightedServedFraction;

        /** Jobs asked for. */
        public int asked() {
            return asked;
        }

        /** Jobs that ended so. */
        public int ended(End end) {
            return ends.getOrDefault(end, 0);
        }

        /** Jobs served in time. */
        public int inTime() {
            return inTime;
        }

        /**
         * A percentile of the time from the first try to the result, of jobs that were served, ms.
         */
        public double servedMs(double percentile) {
            return servedUs.getTotalCount() == 0
                    ? 0
                    : servedUs.getValueAtPercentile(percentile) / 1000.0;
        }

        /** Priority weight of the jobs asked for. */
        public double priorityWeightAsked() {
            return priorityWeightAsked;
        }

        /** Priority weight of those that were served in time. */
        public double weightedServedFraction() {
            return weightedServedFraction;
        }
    }

    private final Map<String, OfClass> classes = new LinkedHashMap<>();

    private RequestOutcomes() {}

    private record Job(RequestSent first, RequestSent last) {}

    /** Reads what was seen. */
    public static RequestOutcomes of(List<Observation> seen, List<JobClass> jobClasses) {
        final Map<String, Job> jobs = new LinkedHashMap<>();
        final Map<String, Observation> ends = new HashMap<>();
        for (final Observation each : seen) {
            if (each instanceof RequestSent sent) {
                jobs.merge(
                        sent.origin(),
                        new Job(sent, sent),
                        (old, now) -> new Job(old.first(), sent));
            } else if (each instanceof RequestAnswered answer) {
                ends.putIfAbsent(answer.id(), answer);
            } else if (each instanceof RequestLost lost) {
                ends.putIfAbsent(lost.id(), lost);
            } else if (each instanceof RequestUnanswered none) {
                ends.putIfAbsent(none.id(), none);
            } else if (each instanceof RequestUnfinished unfinished) {
                ends.putIfAbsent(unfinished.id(), unfinished);
            }
        }
        final RequestOutcomes outcomes = new RequestOutcomes();
        jobClasses.forEach(each -> outcomes.classes.put(each.name(), new OfClass()));
        for (final Job job : jobs.values()) {
            jobClasses.stream()
                    .filter(each -> each.name().equals(job.first().className()))
                    .findFirst()
                    .ifPresent(
                            jobClass -> outcomes.count(job, jobClass, ends.get(job.last().id())));
        }
        return outcomes;
    }

    private void count(Job job, JobClass jobClass, Observation end) {
        final OfClass ofClass = classes.get(jobClass.name());
        final End how = end(end);
        ofClass.asked++;
        ofClass.ends.merge(how, 1, Integer::sum);
        if (how != End.UNFINISHED) {
            ofClass.priorityWeightAsked += jobClass.priorityWeight();
        }
        if (how == End.SERVED) {
            final long tookUs = end.us() - job.first().us();
            ofClass.servedUs.recordValue(Math.max(0, Math.min(MAX_LATENCY_US, tookUs)));
            if (jobClass.isInTime(tookUs, job.first().workUs())) {
                ofClass.inTime++;
                ofClass.weightedServedFraction += jobClass.priorityWeight();
            }
        }
    }

    private static End end(Observation end) {
        if (end instanceof RequestAnswered answer) {
            return answer.status() == LoadClients.OK
                    ? End.SERVED
                    : answer.status() == REFUSED || answer.status() == TOO_MANY_REQUESTS
                            ? End.REFUSED
                            : End.FAILED;
        }
        return end instanceof RequestUnfinished || end == null ? End.UNFINISHED : End.UNANSWERED;
    }

    /** By class, in the order of the classes. */
    public Map<String, OfClass> classes() {
        return classes;
    }

    /** Jobs asked for. */
    public int asked() {
        return classes.values().stream().mapToInt(OfClass::asked).sum();
    }

    /** Jobs that ended so. */
    public int ended(End end) {
        return classes.values().stream().mapToInt(each -> each.ended(end)).sum();
    }

    /** Jobs served in time. */
    public int inTime() {
        return classes.values().stream().mapToInt(OfClass::inTime).sum();
    }

    /**
     * Priority weight served in time over priority weight asked for; 1 where nothing was asked for.
     */
    public double weightedServedFraction() {
        final double asked =
                classes.values().stream().mapToDouble(OfClass::priorityWeightAsked).sum();
        return asked == 0
                ? 1
                : classes.values().stream().mapToDouble(OfClass::weightedServedFraction).sum()
                        / asked;
    }
}
