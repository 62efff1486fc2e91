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
    interface Sender {
        void started();

        void progressed(double fractionDone);

        void ended(Outcome outcome);
    }

    private static final class Held {
        private final double workUs;
        private final int slots;
        private final Sender sender;

        Held(double workUs, int slots, Sender sender) {
            this.workUs = workUs;
            this.slots = slots;
            this.sender = sender;
        }
    }

    /** Steps in which a warming worker's work is added up, us. */
    private static final long WARMING_STEP_US = 50_000;

    private static final long PROGRESS_US = 1_000_000;
    private static final long REPORT_US = 1_300_000;
    private static final long REPORT_DELAY_US = 250_000;
    private static final int QUEUE_A_SLOT = 12;

    private final EventQueue agenda;
    private final SlowStartSettings cold;
    final int id;
    final int zone;
    final int kind;
    final int cell;
    private final int slots;
    private final double speed;
    private final ArrayDeque<Held> queue = new ArrayDeque<>();
    private final ArrayDeque<long[]> colds = new ArrayDeque<>();
    private int busy;
    private long startedUs;
    private boolean up = true;
    private int run;
    private double slower = 1;
    private double failing;
    private LoadReport visible = LoadReport.NONE;
    private final double meanWorkUs;
    private boolean fell;
    private double maxColdCountRatio;
    private double maxColdWorkRatio;

    ModelWorker(
            EventQueue agenda,
            SlowStartSettings cold,
            int id,
            int zone,
            int kind,
            int cell,
            int slots,
            double speed,
            double meanWorkUs) {
        this.agenda = agenda;
        this.cold = cold;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.cell = cell;
        this.slots = slots;
        this.speed = speed;
        this.meanWorkUs = meanWorkUs;
        agenda.after((long) id * 7_919 % REPORT_US, this::report);
    }

    private void report() {
        if (up) {
            final LoadReport seen = new LoadReport(slots - busy, -1, queue.size());
            final int of = run;
            agenda.after(REPORT_DELAY_US, () -> visible = of == run ? seen : visible);
        }
        agenda.after(REPORT_US, this::report);
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
    void lose() {
        up = false;
        run++;
        queue.clear();
        busy = 0;
        visible = LoadReport.NONE;
    }

    /** A new process, cold. */
    void startAnew() {
        lose();
        up = true;
        startedUs = agenda.nowUs();
        colds.clear();
    }

    void slowDown(double times) {
        slower = times;
    }

    /** From now on it fails this part of its jobs as soon as they start. */
    void failPart(double part) {
        failing = part;
    }

    private double warmth(long atUs) {
        final long ageUs = atUs - startedUs;
        return startedUs == 0 || ageUs >= cold.warmUpDurationUs()
                ? 1
                : cold.initialCapacityFraction()
                        + (1 - cold.initialCapacityFraction()) * ageUs / cold.warmUpDurationUs();
    }

    /** Whether it has started too lately to do all that it will. */
    boolean isCold() {
        return warmth(agenda.nowUs()) < 1;
    }

    /** Whether it was pushed over while it was cold. */
    boolean fell() {
        return fell;
    }

    /** A job's last byte has come. */
    void take(double workUs, int needed, Sender sender) {
        noteCold(workUs * needed);
        if (!up) {
            return;
        }
        if (queue.size() >= QUEUE_A_SLOT * slots) {
            sender.ended(Outcome.FULL);
            return;
        }
        queue.add(new Held(workUs, Math.min(slots, needed), sender));
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
    private void noteCold(double work) {
        final long nowUs = agenda.nowUs();
        if (!up || warmth(nowUs) >= 1) {
            return;
        }
        colds.add(new long[] {nowUs, (long) work});
        while (colds.peek()[0] < nowUs - cold.overloadAfterUs()) {
            colds.poll();
        }
        final double sent = colds.stream().mapToLong(each -> each[1]).sum() / meanWorkUs;
        final double bound =
                cold.toleratedJobs(
                        cold.overloadFactor()
                                * warmth(nowUs)
                                * slots
                                * speed
                                * cold.overloadAfterUs()
                                / meanWorkUs);
        maxColdCountRatio = Math.max(maxColdCountRatio, colds.size() / bound);
        maxColdWorkRatio = Math.max(maxColdWorkRatio, sent / bound);
        if (sent > bound) {
            fell = true;
            lose();
        }
    }

    private void startWaiting() {
        while (!queue.isEmpty() && busy + queue.peek().slots <= slots) {
            final Held held = queue.poll();
            busy += held.slots;
            held.sender.started();
            final int of = run;
            // Failing is spread evenly over its jobs, by the work they bring.
            final boolean fails = held.workUs % 1000 < failing * 1000;
            final long ranUs = fails ? WARMING_STEP_US : runningUs(held.workUs);
            for (long reported = PROGRESS_US; reported < ranUs; reported += PROGRESS_US) {
                final double share = (double) reported / ranUs;
                agenda.after(
                        reported,
                        () -> {
                            if (of == run) {
                                held.sender.progressed(share);
                            }
                        });
            }
            agenda.after(
                    ranUs,
                    () -> {
                        if (of == run) {
                            busy -= held.slots;
                            held.sender.ended(fails ? Outcome.ERROR : Outcome.SERVED);
                            startWaiting();
                        }
                    });
        }
    }

    private long runningUs(double workUs) {
        final long nowUs = agenda.nowUs();
        double left = workUs * slower / speed;
        long passed = 0;
        while (left > 0 && warmth(nowUs + passed) < 1) {
            final double step = Math.min(WARMING_STEP_US, left / warmth(nowUs + passed));
            left -= step * warmth(nowUs + passed);
            passed += (long) Math.ceil(step);
        }
        return passed + (long) left;
    }
}
