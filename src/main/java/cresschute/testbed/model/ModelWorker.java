package cresschute.testbed.model;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.SlowStartSettings;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.ArrayDeque;

/**
 * A simulated worker: as many slots as cores, a bounded FIFO queue, a cold start during which its
 * speed rises linearly, and load reports that are refreshed periodically and arrive late. A cancel
 * does not stop a job.
 */
final class ModelWorker {

    /** Receives the events of one job. */
    interface JobListener {
        void started();

        void progressed(double fractionDone);

        void ended(Outcome outcome);
    }

    private static final class Job {
        private final double workUs;
        private final int slots;
        private final JobListener listener;

        Job(double workUs, int slots, JobListener listener) {
            this.workUs = workUs;
            this.slots = slots;
            this.listener = listener;
        }
    }

    /** The step in which a warming worker's work is integrated, us. */
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

    /** The process ends and loses all jobs without notice. */
    void crash() {
        up = false;
        processNumber++;
        queue.clear();
        busy = 0;
        visible = LoadReport.NONE;
    }

    /** Starts a new, cold process. */
    void restart() {
        crash();
        up = true;
        startedUs = eventQueue.nowUs();
        coldJobs.clear();
    }

    void slowDown(double times) {
        slowdown = times;
    }

    /** Fails this fraction of its jobs as soon as they start, from now on. */
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

    /** Returns whether the worker is still warming up. */
    boolean isCold() {
        return capacityFraction(eventQueue.nowUs()) < 1;
    }

    /** Returns whether the worker was overloaded while it was cold. */
    boolean overloaded() {
        return overloaded;
    }

    /** Receives a complete job. */
    void receive(double workUs, int needed, JobListener listener) {
        recordColdJob(workUs * needed);
        if (!up) {
            return;
        }
        if (queue.size() >= MAX_QUEUED_PER_SLOT * slots) {
            listener.ended(Outcome.FULL);
            return;
        }
        queue.add(new Job(workUs, Math.min(slots, needed), listener));
        startWaiting();
    }

    /** The largest ratio of jobs in a window while cold to the number tolerated. */
    double maxColdCountRatio() {
        return maxColdCountRatio;
    }

    /**
     * The largest ratio of work in a window while cold to the work tolerated; above 1 the worker
     * crashed.
     */
    double maxColdWorkRatio() {
        return maxColdWorkRatio;
    }

    /**
     * Counts the jobs and their work in the window that ends now. The worker crashes if their work
     * exceeds the bound.
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
            job.listener.started();
            final int startedBy = processNumber;
            // Selects failing jobs evenly by the work that they bring.
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
                                job.listener.progressed(share);
                            }
                        });
            }
            eventQueue.scheduleAfter(
                    ranUs,
                    () -> {
                        if (startedBy == processNumber) {
                            busy -= job.slots;
                            job.listener.ended(fails ? Outcome.ERROR : Outcome.SERVED);
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
