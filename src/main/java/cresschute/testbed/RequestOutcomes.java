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
 * The results of the jobs that clients requested. Retries of a client count as part of its first
 * attempt. Pure: it reads only the observations.
 */
public final class RequestOutcomes {

    private static final long MAX_LATENCY_US = 3_600_000_000L;
    private static final int DIGITS = 3;
    private static final int REFUSED = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    /** The result of the last attempt of a job. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        UNANSWERED,
        UNFINISHED
    }

    /** The results of one request class. */
    public static final class OfClass {

        private final Map<End, Integer> ends = new HashMap<>();
        private final Histogram servedUs = new Histogram(MAX_LATENCY_US, DIGITS);
        private int inTime;
        private int asked;
        private double priorityWeightAsked;
        private double weightedServedFraction;

        /** The number of jobs requested. */
        public int asked() {
            return asked;
        }

        /** The number of jobs with this result. */
        public int ended(End end) {
            return ends.getOrDefault(end, 0);
        }

        /** The number of jobs served in time. */
        public int inTime() {
            return inTime;
        }

        /**
         * A percentile of the time from the first attempt to the result, of served jobs, ms; 0 if
         * none was served.
         */
        public double servedMs(double percentile) {
            return servedUs.getTotalCount() == 0
                    ? 0
                    : servedUs.getValueAtPercentile(percentile) / 1000.0;
        }

        /** The priority weight of the jobs requested. */
        public double priorityWeightAsked() {
            return priorityWeightAsked;
        }

        /** The priority weight of the jobs served in time. */
        public double weightedServedFraction() {
            return weightedServedFraction;
        }
    }

    private final Map<String, OfClass> classes = new LinkedHashMap<>();

    private RequestOutcomes() {}

    private record Job(RequestSent first, RequestSent last) {}

    /** Derives the results from the observations. */
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

    /** The results by class, in the order of the classes. */
    public Map<String, OfClass> classes() {
        return classes;
    }

    /** The number of jobs requested. */
    public int asked() {
        return classes.values().stream().mapToInt(OfClass::asked).sum();
    }

    /** The number of jobs with this result. */
    public int ended(End end) {
        return classes.values().stream().mapToInt(each -> each.ended(end)).sum();
    }

    /** The number of jobs served in time. */
    public int inTime() {
        return classes.values().stream().mapToInt(OfClass::inTime).sum();
    }

    /**
     * The priority weight served in time divided by the priority weight requested; 1 if nothing was
     * requested.
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
