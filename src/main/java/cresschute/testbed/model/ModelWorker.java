package cresschute.testbed.model;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.SlowStartSettings;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.ArrayDeque;

/**
 * A worker: as many slots as cores, a bounded queue served in order, a cold start in which its
 * speed rises evenly, load reports that are refreshed now and then and arrive late. A cancel stops
 * nothing.
 */
final class ModelWorker {

    /** Where a job's news go. */
    interface JobListener {
        void started();

        void progressed(double fractionDone);

        void ended(Outcome outcome);
    }

    private static final class Job {
        private final double workUs;
        private final int slots;
        private final JobListener sender;

        Job(double workUs, int slots, JobListener sender) {
            this.workUs = workUs;
            this.slots = slots;
            this.sender = sender;
        }
    }

    /** Steps in which a warming worker's work is added up, us. */
    private static final long WARMING_STEP_US = 50_000;

    private static final long PROGRESS_INTERVAL_US = 1_000_000;
    private static final long REPORT_INTERVAL_US = 1_300_000;
    private static final long REPORT_DELAY_US = 250_000;
    private static final int MAX_QUEUED_PER_SLOT = 12;

    private final EventQueue eventQueue;
    private final SlowStartSettings cold;
    final int id;
    final int zone;
    final int kind;
    final int cell;
    private final int slots;
    private final double speed;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<long[]> coldJobs = new ArrayDeque<>();
    private int busy;
    private long startedUs;
    private boolean up = true;
    private int processNumber;
    private double slowdown = 1;
    private double failedFraction;
    private LoadReport visible = LoadReport.NONE;
    private final double meanWorkUs;
    private boolean overloaded;
    private double maxColdCountRatio;
    private double maxColdWorkRatio;

    ModelWorker(
            EventQueue eventQueue,
            SlowStartSettings cold,
            int id,
            int zone,
            int kind,
            int cell,
            int slots,
            double speed,
            double meanWorkUs) {
        this.eventQueue = eventQueue;
        this.cold = cold;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.cell = cell;
        this.slots = slots;
        this.speed = speed;
        this.meanWorkUs = meanWorkUs;
        eventQueue.scheduleAfter((long) id * 7_919 % REPORT_INTERVAL_US, this::report);
    }

    private void report() {
        if (up) {
            final LoadReport seen = new LoadReport(slots - busy, -1, queue.size());
            final int startedBy = processNumber;
            eventQueue.scheduleAfter(
                    REPORT_DELAY_US, () -> visible = startedBy == processNumber ? seen : visible);
        }
        eventQueue.scheduleAfter(REPORT_INTERVAL_US, this::report);
    }

    double trueLoad() {
        return (double) (busy + queue.size()) / slots;
    }

    boolean isUp() {
        return up;
    }

    LoadReport visible() {
        return visible;
    }

    Worker listed(WorkerState state) {
        return new Worker(id, zone, kind, cell, state, 1, startedUs);
    }

    /** Its process and all it holds are gone without a word. */
    void crash() {
        up = false;
        processNumber++;
        queue.clear();
        busy = 0;
        visible = LoadReport.NONE;
    }

    /** A new process, cold. */
    void restart() {
        crash();
        up = true;
        startedUs = eventQueue.nowUs();
        coldJobs.clear();
    }

    void slowDown(double times) {
        slowdown = times;
    }

    /** From now on it fails this part of its jobs as soon as they start. */
    void failFraction(double part) {
        failedFraction = part;
    }

    private double capacityFraction(long atUs) {
        final long ageUs = atUs - startedUs;
        return startedUs == 0 || ageUs >= cold.warmUpDurationUs()
                ? 1
                : cold.initialCapacityFraction()
                        + (1 - cold.initialCapacityFraction()) * ageUs / cold.warmUpDurationUs();
    }

    /** Whether it has started too lately to do all that it will. */
    boolean isCold() {
        return capacityFraction(eventQueue.nowUs()) < 1;
    }

    /** Whether it was pushed over while it was cold. */
    boolean overloaded() {
        return overloaded;
    }

    /** A job's last byte has come. */
    void receive(double workUs, int needed, JobListener sender) {
        recordColdJob(workUs * needed);
        if (!up) {
            return;
        }
        if (queue.size() >= MAX_QUEUED_PER_SLOT * slots) {
            sender.ended(Outcome.FULL);
            return;
        }
        queue.add(new Job(workUs, Math.min(slots, needed), sender));
        startWaiting();
    }

    /** The largest number of jobs in any window while cold, over what it bore then. */
    double maxColdCountRatio() {
        return maxColdCountRatio;
    }

    /** The most work in any window while cold, over what it bore then; above 1 it fell. */
    double maxColdWorkRatio() {
        return maxColdWorkRatio;
    }

    /**
     * Counts the jobs and their work in the window that ends now; by their work, it falls over the
     * bound.
     */
    private void recordColdJob(double work) {
        final long nowUs = eventQueue.nowUs();
        if (!up || capacityFraction(nowUs) >= 1) {
            return;
        }
        coldJobs.add(new long[] {nowUs, (long) work});
        while (coldJobs.peek()[0] < nowUs - cold.overloadAfterUs()) {
            coldJobs.poll();
        }
        final double sent = coldJobs.stream().mapToLong(each -> each[1]).sum() / meanWorkUs;
        final double bound =
                cold.toleratedJobs(
                        cold.overloadFactor()
                                * capacityFraction(nowUs)
                                * slots
                                * speed
                                * cold.overloadAfterUs()
                                / meanWorkUs);
        maxColdCountRatio = Math.max(maxColdCountRatio, coldJobs.size() / bound);
        maxColdWorkRatio = Math.max(maxColdWorkRatio, sent / bound);
        if (sent > bound) {
            overloaded = true;
            crash();
        }
    }

    private void startWaiting() {
        while (!queue.isEmpty() && busy + queue.peek().slots <= slots) {
            final Job job = queue.poll();
            busy += job.slots;
            job.sender.started();
            final int startedBy = processNumber;
            // Failing is spread evenly over its jobs, by the work they bring.
            final boolean fails = job.workUs % 1000 < failedFraction * 1000;
            final long ranUs = fails ? WARMING_STEP_US : runningUs(job.workUs);
            for (long reported = PROGRESS_INTERVAL_US;
                    reported < ranUs;
                    reported += PROGRESS_INTERVAL_US) {
                final double share = (double) reported / ranUs;
                eventQueue.scheduleAfter(
                        reported,
                        () -> {
                            if (startedBy == processNumber) {
                                job.sender.progressed(share);
                            }
                        });
            }
            eventQueue.scheduleAfter(
                    ranUs,
                    () -> {
                        if (startedBy == processNumber) {
                            busy -= job.slots;
                            job.sender.ended(fails ? Outcome.ERROR : Outcome.SERVED);
                            startWaiting();
                        }
                    });
        }
    }

    private long runningUs(double workUs) {
        final long nowUs = eventQueue.nowUs();
        double left = workUs * slowdown / speed;
        long passed = 0;
        while (left > 0 && capacityFraction(nowUs + passed) < 1) {
            final double step = Math.min(WARMING_STEP_US, left / capacityFraction(nowUs + passed));
            left -= step * capacityFraction(nowUs + passed);
            passed += (long) Math.ceil(step);
        }
        return passed + (long) left;
    }
}
