package cresschute.health;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Who is well: from what passes on the sockets, the condition of each worker, with its reason and
 * since when, and rates and times for each worker and each class. It describes and never decides.
 *
 * <p>Pure: the clock is passed in, and its owner, the loop, is the only one to call it. Times are
 * microseconds of a clock that never goes back. Memory is bounded by the workers that are listed,
 * or went less than ten minutes ago: about 16 kB for each, as measured by {@code
 * HealthTrackerTest}.
 */
public final class HealthTracker {

    /** How long a worker that is gone is still shown. */
    static final long GONE_SHOWN_US = 600_000_000L;

    private static final long MINUTE_US = 60_000_000L;
    private static final long S = 1_000_000L;
    private static final int SPARKS = 12;
    private static final int MIN_SAMPLES = 5;
    private static final double WEIGHT_OF_NEW = 0.2;

    /** A running job this many times older than the class's median counts as held up. */
    private static final double HELD_UP = 3;

    /** How long a worker that gets nothing to do is still called silent. */
    private static final long UNTRIED_US = 30 * S;

    /** Times of served jobs, in milliseconds, or -1 where there were none. */
    public record Times(long p50Ms, long p99Ms) {}

    /**
     * How a worker is.
     *
     * @param why in words for people; empty where there is nothing to explain
     * @param inFlight attempts that are out at it
     * @param inFlightByClass the same for each class
     * @param ratePerS attempts served in a second, over the last minute
     * @param failed attempts that ended otherwise in the last minute
     * @param sparks attempts served in each five seconds of the last minute, the oldest first
     * @param queue jobs that waited there as last reported, or -1
     * @param free free slots as last reported, or -1
     * @param reportUs when that report came, or 0
     */
    public record View(
            Condition condition,
            String why,
            long sinceUs,
            int inFlight,
            int[] inFlightByClass,
            double ratePerS,
            int failed,
            Times minute,
            Times tenMinutes,
            int[] sparks,
            double queue,
            double free,
            long reportUs) {}

    /**
     * How a class is served, over the last minute.
     *
     * @param admitted requests that were not rejected at once, or failed, before any attempt
     * @param inTime requests answered within their latency objective, as far as it can be told from
     *     here
     */
    public record ClassView(
            int asked,
            int admitted,
            int served,
            int refused,
            int failed,
            int inTime,
            int inFlight,
            Times minute,
            Times tenMinutes) {}

    /** What counts as in time in a class, and what that is worth. */
    public record LatencyObjective(
            double priorityWeight, long latencyObjectiveUs, double stretch) {}

    /** How a request was answered. */
    public enum Answer {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** An attempt that is out. */
    public final class Job {
        private final WorkerHealth worker;
        private final int requestClass;
        private final long sentUs;
        private long startedUs;

        private Job(WorkerHealth worker, int requestClass, long sentUs) {
            this.worker = worker;
            this.requestClass = requestClass;
            this.sentUs = sentUs;
        }

        /** The worker told of its start or its progress. */
        public void told(long nowUs) {
            startedUs = startedUs == 0 ? nowUs : startedUs;
            worker.heardUs = nowUs;
            worker.connectFailures = 0;
        }

        /** Its end, once. */
        public void ended(long nowUs, Outcome outcome, LoadReport report) {
            worker.jobs.remove(this);
            worker.inFlight[requestClass]--;
            classes.get(requestClass).inFlight--;
            if (outcome == Outcome.CONNECT_FAILED) {
                worker.connectFailures++;
                worker.connectFailedUs = nowUs;
            } else if (outcome != Outcome.TIMED_OUT
                    && outcome != Outcome.CANCELLED
                    && outcome != Outcome.NOT_SENT) {
                worker.heardUs = nowUs;
                worker.connectFailures = 0;
            }
            worker.fullUs = outcome == Outcome.FULL ? nowUs : worker.fullUs;
            worker.reported(nowUs, report);
            if (outcome != Outcome.SERVED) {
                worker.failed.add(nowUs, outcome == Outcome.NOT_SENT ? 0 : 1);
                return;
            }
            worker.served.add(nowUs, 1);
            worker.minute.add(nowUs, nowUs - sentUs);
            worker.tenMinutes.add(nowUs, nowUs - sentUs);
            final long ranUs = ranUs(nowUs);
            final ClassHealth seen = classes.get(requestClass);
            if (seen.medianUs > 0) {
                // Of logarithms: times of jobs spread by factors, and one heavy job is not to weigh
                // for many.
                worker.slowness +=
                        (Math.log(Math.max(1, ranUs) / (double) seen.medianUs) - worker.slowness)
                                * (worker.samples < MIN_SAMPLES
                                        ? 1.0 / (worker.samples + 1)
                                        : WEIGHT_OF_NEW);
                worker.samples++;
            }
            seen.runs.add(nowUs, ranUs);
        }

        /** How long it ran; from its send on where no start was told. */
        public long ranUs(long nowUs) {
            return nowUs - (startedUs == 0 ? sentUs : startedUs);
        }
    }

    private final class WorkerHealth {
        private final List<Job> jobs = new ArrayList<>();
        private final int[] inFlight = new int[classes.size()];
        private final Counts served = new Counts(5 * S, SPARKS);
        private final Counts failed = new Counts(10 * S, 6);
        private final Rolling minute = new Rolling(10 * S, 6);
        private final Rolling tenMinutes = new Rolling(2 * MINUTE_US, 5);
        private WorkerState listed;
        private boolean byOperator;
        private long startedUs;
        private long heardUs;
        private long fullUs = Long.MIN_VALUE / 2;
        private long reportUs;
        private double free = -1;
        private double queue = -1;
        private int connectFailures;
        private long connectFailedUs;

        /** Logarithm of how many times as long as elsewhere its jobs run. */
        private double slowness;

        private int samples;
        private Condition condition;
        private String why = "";
        private long sinceUs;
        private Condition next;
        private long nextSinceUs;

        private void reported(long nowUs, LoadReport report) {
            if (report.freeSlots() >= 0 || report.waiting() >= 0) {
                reportUs = nowUs;
                free = report.freeSlots();
                queue = report.waiting();
            }
        }
    }

    private final class ClassHealth {
        private final LatencyObjective latencyObjective;
        private final Counts asked = minuteCounts();
        private final Counts admitted = minuteCounts();
        private final Counts served = minuteCounts();
        private final Counts refused = minuteCounts();
        private final Counts failed = minuteCounts();
        private final Counts inTime = minuteCounts();
        private final Rolling minute = new Rolling(10 * S, 6);
        private final Rolling tenMinutes = new Rolling(2 * MINUTE_US, 5);
        private final Rolling runs = new Rolling(20 * S, 6);
        private int inFlight;
        private long medianUs;

        private ClassHealth(LatencyObjective latencyObjective) {
            this.latencyObjective = latencyObjective;
        }
    }

    private static Counts minuteCounts() {
        return new Counts(10 * S, 6);
    }

    private final Thresholds thresholds;
    private final List<ClassHealth> classes = new ArrayList<>();
    private final Map<Integer, WorkerHealth> workers = new LinkedHashMap<>();
    private final IntCountsHistogram scratch = new IntCountsHistogram(1);

    /** A book in which nobody is known yet; classes are numbered as they are given. */
    public HealthTracker(Thresholds thresholds, List<LatencyObjective> aims) {
        this.thresholds = thresholds;
        aims.forEach(latencyObjective -> classes.add(new ClassHealth(latencyObjective)));
    }

    // ---- What passes ----

    /** What the list says of a worker, and whether it is an operator who drains it. */
    public void listed(
            long nowUs, int worker, WorkerState state, boolean byOperator, long startedUs) {
        final WorkerHealth seen = workers.get(worker);
        if (seen == null) {
            if (state != WorkerState.GONE) {
                final WorkerHealth fresh = new WorkerHealth();
                fresh.startedUs = startedUs;
                fresh.listed = state;
                fresh.byOperator = byOperator;
                fresh.heardUs = nowUs;
                workers.put(worker, fresh);
            }
            return;
        }
        if (startedUs != seen.startedUs) {
            // Another process: what was learned of the old one's speed says nothing of it.
            seen.startedUs = startedUs;
            seen.samples = 0;
            seen.slowness = 0;
            seen.connectFailures = 0;
        }
        seen.listed = state;
        seen.byOperator = byOperator;
    }

    /** An attempt goes out to a worker; the job that is returned hears the rest of it. */
    public Job sent(long nowUs, int worker, int requestClass) {
        final WorkerHealth seen = workers.computeIfAbsent(worker, unlisted -> new WorkerHealth());
        seen.listed = seen.listed == null ? WorkerState.READY : seen.listed;
        final Job job = new Job(seen, requestClass, nowUs);
        if (seen.jobs.isEmpty()) {
            // It had nothing to tell of until now.
            seen.heardUs = Math.max(seen.heardUs, nowUs);
        }
        seen.jobs.add(job);
        seen.inFlight[requestClass]++;
        classes.get(requestClass).inFlight++;
        return job;
    }

    /** A probe's answer. */
    public void probed(long nowUs, int worker, LoadReport report) {
        final WorkerHealth seen = workers.get(worker);
        if (seen != null) {
            seen.reported(nowUs, report);
        }
    }

    /** A request came. */
    public void asked(long nowUs, int requestClass) {
        classes.get(requestClass).asked.add(nowUs, 1);
    }

    /**
     * A request was answered, or its client left.
     *
     * @param attempts how many were sent for it
     * @param waitedUs since it came
     * @param ranUs how long the job ran that served it
     */
    public void answered(
            long nowUs, int requestClass, Answer answer, int attempts, long waitedUs, long ranUs) {
        final ClassHealth seen = classes.get(requestClass);
        seen.admitted.add(nowUs, attempts > 0 ? 1 : 0);
        switch (answer) {
            case SERVED -> {
                seen.served.add(nowUs, 1);
                seen.minute.add(nowUs, waitedUs);
                seen.tenMinutes.add(nowUs, waitedUs);
                if (waitedUs
                        <= seen.latencyObjective.latencyObjectiveUs()
                                + seen.latencyObjective.stretch() * ranUs) {
                    seen.inTime.add(nowUs, 1);
                }
            }
            case REFUSED -> seen.refused.add(nowUs, 1);
            case FAILED -> seen.failed.add(nowUs, 1);
            case LEFT -> {}
        }
    }

    // ---- Conditions ----

    /** A condition that has just changed. */
    public record Change(int worker, Condition from, Condition to, String why) {}

    /** Looks at all workers anew; to be called a few times a second. Returns what has changed. */
    public List<Change> look(long nowUs) {
        for (final ClassHealth seen : classes) {
            scratch.reset();
            seen.runs.addTo(scratch, nowUs);
            seen.medianUs =
                    scratch.getTotalCount() < MIN_SAMPLES
                            ? 0
                            : scratch.getValueAtPercentile(50) * 1_000;
        }
        final List<Change> changes = new ArrayList<>();
        workers.forEach(
                (id, seen) -> {
                    final Condition before = seen.condition;
                    settle(seen, nowUs);
                    if (seen.condition != before) {
                        changes.add(new Change(id, before, seen.condition, seen.why));
                    }
                });
        workers.values()
                .removeIf(
                        seen ->
                                seen.condition == Condition.GONE
                                        && seen.jobs.isEmpty()
                                        && nowUs - seen.sinceUs >= GONE_SHOWN_US);
        return changes;
    }

    private void settle(WorkerHealth seen, long nowUs) {
        final StringBuilder why = new StringBuilder();
        final Condition now = judge(seen, nowUs, why);
        if (now == seen.condition) {
            seen.next = null;
            seen.why = why.toString();
            return;
        }
        if (seen.next != now) {
            seen.next = now;
            seen.nextSinceUs = nowUs;
        }
        // What the list or an operator says is no measurement: it holds at once, and so does its
        // end.
        final boolean told = seen.condition == null || isTold(now) || isTold(seen.condition);
        final long holdUs =
                told
                        ? 0
                        : now == Condition.FULL || now.compareTo(seen.condition) < 0
                                ? thresholds.betterAfterUs()
                                : thresholds.worseAfterUs();
        if (nowUs - seen.nextSinceUs >= holdUs) {
            seen.condition = now;
            seen.why = why.toString();
            seen.sinceUs = nowUs;
            seen.next = null;
        }
    }

    private static boolean isTold(Condition condition) {
        return condition == Condition.GONE || condition == Condition.DRAINING;
    }

    private Condition judge(WorkerHealth seen, long nowUs, StringBuilder why) {
        if (seen.listed == WorkerState.GONE) {
            why.append("not on the list")
                    .append(seen.jobs.isEmpty() ? "" : "; " + seen.jobs.size() + " still out");
            return Condition.GONE;
        }
        if (seen.byOperator || seen.listed == WorkerState.DRAINING) {
            why.append(seen.byOperator ? "by an operator" : "by the list")
                    .append(
                            seen.jobs.isEmpty()
                                    ? "; nothing is out there"
                                    : "; " + seen.jobs.size() + " still out");
            return Condition.DRAINING;
        }
        if (isSilent(seen, nowUs, why)) {
            return Condition.SILENT;
        }
        if (seen.startedUs > 0 && nowUs - seen.startedUs < thresholds.warmWithinUs()) {
            why.append("started a short while ago");
            return Condition.COLD;
        }
        if (isSlow(seen, nowUs, why)) {
            return Condition.SLOWING;
        }
        final boolean fresh =
                nowUs - seen.reportUs < thresholds.reportFreshUs() && seen.reportUs > 0;
        if (fresh && seen.free >= 0 && seen.free < 1 && seen.queue > 0) {
            why.append("no free slot and ").append((int) seen.queue).append(" waiting");
            return Condition.FULL;
        }
        if (nowUs - seen.fullUs < thresholds.reportFreshUs()) {
            why.append("it turned jobs away");
            return Condition.FULL;
        }
        return Condition.TAKING;
    }

    private boolean isSilent(WorkerHealth seen, long nowUs, StringBuilder why) {
        if (seen.connectFailures >= thresholds.connectFailures()
                && nowUs - seen.connectFailedUs < UNTRIED_US) {
            why.append(seen.connectFailures).append(" connections in a row failed");
            return true;
        }
        if (seen.jobs.isEmpty()) {
            // Nothing is out, so nothing can be heard: for a while it stays what it was.
            if (seen.condition != Condition.SILENT
                    || seen.heardUs > seen.sinceUs
                    || nowUs - seen.sinceUs >= UNTRIED_US) {
                return false;
            }
            why.append(seen.why);
            return true;
        }
        final boolean running =
                thresholds.progressUs() > 0
                        && seen.jobs.stream().anyMatch(job -> job.startedUs > 0);
        final long oldestUs = seen.jobs.stream().mapToLong(job -> job.sentUs).min().orElse(nowUs);
        final long quietUs = nowUs - Math.max(seen.heardUs, oldestUs);
        // Jobs that only wait have nothing to tell: others' jobs may be before them.
        if (quietUs >= (running ? thresholds.quietUs() : Math.max(thresholds.quietUs(), 10 * S))) {
            why.append("nothing heard of its ").append(seen.jobs.size()).append(" jobs");
            return true;
        }
        return false;
    }

    private boolean isSlow(WorkerHealth seen, long nowUs, StringBuilder why) {
        int started = 0;
        int heldUp = 0;
        for (final Job job : seen.jobs) {
            final long medianUs = classes.get(job.requestClass).medianUs;
            if (job.startedUs > 0 && medianUs > 0) {
                started++;
                heldUp += nowUs - job.startedUs > HELD_UP * medianUs ? 1 : 0;
            }
        }
        // Two of them: a single long job is a heavy job, and says nothing of its worker.
        if (heldUp >= 2 && 2 * heldUp > started) {
            why.append(heldUp).append(" of ").append(started).append(" running jobs are held up");
            return true;
        }
        final double bound =
                seen.condition == Condition.SLOWING
                        ? thresholds.slowUntil()
                        : thresholds.slowFrom();
        if (seen.samples >= MIN_SAMPLES && Math.exp(seen.slowness) >= bound) {
            why.append("jobs run ")
                    .append(Math.round(Math.exp(seen.slowness) * 10) / 10.0)
                    .append(" times as long as elsewhere");
            return true;
        }
        return false;
    }

    // ---- Views ----

    /** Numbers of the workers that are known. */
    public List<Integer> workers() {
        return List.copyOf(workers.keySet());
    }

    /** Attempts that are out at a worker. */
    public int inFlight(int worker) {
        final WorkerHealth seen = workers.get(worker);
        return seen == null ? 0 : seen.jobs.size();
    }

    /** How a worker is, or null where it is not known. Its condition is that of the last look. */
    public View view(long nowUs, int worker) {
        final WorkerHealth seen = workers.get(worker);
        if (seen == null) {
            return null;
        }
        return new View(
                seen.condition == null ? Condition.TAKING : seen.condition,
                seen.why,
                seen.sinceUs,
                seen.jobs.size(),
                seen.inFlight.clone(),
                seen.served.sum(nowUs) / (MINUTE_US / S),
                (int) seen.failed.sum(nowUs),
                times(seen.minute, nowUs),
                times(seen.tenMinutes, nowUs),
                seen.served.each(nowUs),
                seen.queue,
                seen.free,
                seen.reportUs);
    }

    /** How a class is served. */
    public ClassView classView(long nowUs, int requestClass) {
        final ClassHealth seen = classes.get(requestClass);
        return new ClassView(
                (int) seen.asked.sum(nowUs),
                (int) seen.admitted.sum(nowUs),
                (int) seen.served.sum(nowUs),
                (int) seen.refused.sum(nowUs),
                (int) seen.failed.sum(nowUs),
                (int) seen.inTime.sum(nowUs),
                seen.inFlight,
                times(seen.minute, nowUs),
                times(seen.tenMinutes, nowUs));
    }

    /**
     * Worth of what was answered in time over that of all that was answered in the last minute, or
     * -1.
     */
    public double weightedServedFraction(long nowUs) {
        double kept = 0;
        double all = 0;
        for (final ClassHealth seen : classes) {
            kept += seen.latencyObjective.priorityWeight() * seen.inTime.sum(nowUs);
            all +=
                    seen.latencyObjective.priorityWeight()
                            * (seen.served.sum(nowUs)
                                    + seen.refused.sum(nowUs)
                                    + seen.failed.sum(nowUs));
        }
        return all <= 0 ? -1 : kept / all;
    }

    private Times times(Rolling rolling, long nowUs) {
        scratch.reset();
        rolling.addTo(scratch, nowUs);
        return scratch.getTotalCount() == 0
                ? new Times(-1, -1)
                : new Times(scratch.getValueAtPercentile(50), scratch.getValueAtPercentile(99));
    }
}
