package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import cresschute.health.HealthTracker.Answer;
import cresschute.health.HealthTracker.Change;
import cresschute.health.HealthTracker.Job;
import cresschute.health.HealthTracker.LatencyObjective;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is well, told by what passes: each condition, its end, and that none of them flaps. */
class HealthTrackerTest {

    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;
    private static final long LOOK = 250 * MS;

    private final HealthTracker book =
            new HealthTracker(
                    Thresholds.usual(S, 8 * S),
                    List.of(new LatencyObjective(2, S, 2), new LatencyObjective(5, 4 * S, 2)));
    private final List<String> changes = new ArrayList<>();
    private long nowUs = 1_000 * S;

    HealthTrackerTest() {
        for (int worker = 0; worker < 4; worker++) {
            book.listed(nowUs, worker, WorkerState.READY, false, 0);
        }
        look();
    }

    private void look() {
        for (final Change each : book.look(nowUs)) {
            if (each.from() != null) {
                changes.add(each.worker() + ":" + each.to().word());
            }
        }
    }

    private void pass(long us) {
        for (long left = us; left > 0; left -= LOOK) {
            nowUs += Math.min(left, LOOK);
            look();
        }
    }

    private Job start(int worker) {
        final Job job = book.sent(nowUs, worker, 0);
        job.told(nowUs);
        return job;
    }

    private void serve(int worker, long ranUs) {
        final Job job = start(worker);
        nowUs += ranUs;
        job.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
    }

    private Condition condition(int worker) {
        return book.view(nowUs, worker).condition();
    }

    /** The fleet's usual speed, so that there is something to be slow against. */
    private void calm() {
        for (int i = 0; i < 40; i++) {
            serve(i % 4, 200 * MS);
        }
        look();
    }

    @Test
    void silentWhenNothingIsHeardOfRunningJobs() {
        calm();
        final Job job = start(1);
        pass(2 * S);
        job.told(nowUs);
        pass(2 * S);
        assertThat(condition(1)).isEqualTo(Condition.TAKING);
        pass(2 * S);
        assertThat(condition(1)).isEqualTo(Condition.SILENT);
        assertThat(book.view(nowUs, 1).why()).isEqualTo("nothing heard of its 1 jobs");
        job.told(nowUs);
        pass(S);
        // Better counts later than worse does.
        assertThat(condition(1)).isEqualTo(Condition.SILENT);
        job.told(nowUs);
        pass(2 * S);
        assertThat(changes).containsExactly("1:silent", "1:taking");
    }

    /** Jobs of other nodes may be before them in the queue. */
    @Test
    void jobsThatOnlyWaitAreGivenMoreTime() {
        final Job job = book.sent(nowUs, 1, 0);
        pass(9 * S);
        assertThat(condition(1)).isEqualTo(Condition.TAKING);
        pass(2 * S);
        assertThat(condition(1)).isEqualTo(Condition.SILENT);
        job.ended(nowUs, Outcome.TIMED_OUT, LoadReport.NONE);
        // A time-out is no word of the worker's; with nothing out, it stays what it was for a
        // while.
        pass(5 * S);
        assertThat(condition(1)).isEqualTo(Condition.SILENT);
        pass(30 * S);
        assertThat(condition(1)).isEqualTo(Condition.TAKING);
    }

    @Test
    void silentWhenItCannotBeConnectedTo() {
        for (int i = 0; i < 3; i++) {
            book.sent(nowUs, 2, 0).ended(nowUs, Outcome.CONNECT_FAILED, LoadReport.NONE);
        }
        pass(S);
        assertThat(condition(2)).isEqualTo(Condition.SILENT);
        assertThat(book.view(nowUs, 2).why()).isEqualTo("3 connections in a row failed");
        serve(2, 100 * MS);
        pass(3 * S);
        assertThat(condition(2)).isEqualTo(Condition.TAKING);
    }

    @Test
    void slowingAgainstTheOthersAndWellAgainBelowALowerBound() {
        calm();
        for (int i = 0; i < 12; i++) {
            serve(3, 900 * MS);
            serve(0, 200 * MS);
            look();
        }
        pass(S);
        assertThat(condition(3)).isEqualTo(Condition.SLOWING);
        assertThat(book.view(nowUs, 3).why())
                .matches("jobs run [3-5]\\.[0-9] times as long as elsewhere");
        assertThat(condition(0)).isEqualTo(Condition.TAKING);
        for (int i = 0; i < 20; i++) {
            serve(3, 200 * MS);
            look();
        }
        pass(3 * S);
        assertThat(changes).containsExactly("3:slowing", "3:taking");
    }

    /** Between the two bounds nothing changes, whichever way it came. */
    @Test
    void nothingFlapsBetweenTheBounds() {
        calm();
        for (int i = 0; i < 60; i++) {
            serve(3, i % 2 == 0 ? 330 * MS : 390 * MS);
            serve(0, 200 * MS);
            serve(1, 200 * MS);
            look();
        }
        assertThat(changes).isEmpty();
    }

    @Test
    void oneHeavyJobMakesNoSlowWorker() {
        calm();
        final Job heavy = start(1);
        for (int i = 0; i < 10; i++) {
            nowUs += S;
            heavy.told(nowUs);
            look();
        }
        heavy.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        pass(3 * S);
        assertThat(changes).isEmpty();
        // Two of two that are held up are the worker's doing.
        final List<Job> heldUp = List.of(start(1), start(1));
        for (int i = 0; i < 4; i++) {
            nowUs += S;
            heldUp.forEach(each -> each.told(nowUs));
            look();
        }
        assertThat(condition(1)).isEqualTo(Condition.SLOWING);
    }

    @Test
    void fullByReportWhileItIsFresh() {
        final Job job = start(0);
        for (int i = 0; i < 4; i++) {
            nowUs += S;
            job.told(nowUs);
            book.probed(nowUs, 0, new LoadReport(0, -1, 3));
            look();
        }
        assertThat(condition(0)).isEqualTo(Condition.FULL);
        assertThat(book.view(nowUs, 0).why()).isEqualTo("no free slot and 3 waiting");
        job.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        pass(8 * S);
        assertThat(condition(0)).isEqualTo(Condition.TAKING);
        assertThat(book.view(nowUs, 0).queue()).isEqualTo(3);
    }

    @Test
    void fullWhenItTurnsJobsAway() {
        for (int i = 0; i < 12; i++) {
            book.sent(nowUs, 0, 0).ended(nowUs, Outcome.FULL, LoadReport.NONE);
            pass(LOOK);
        }
        assertThat(condition(0)).isEqualTo(Condition.FULL);
        assertThat(book.view(nowUs, 0).failed()).isEqualTo(12);
    }

    @Test
    void listAndOperatorCountAtOnce() {
        final Job job = start(0);
        book.listed(nowUs, 0, WorkerState.READY, true, 0);
        look();
        assertThat(book.view(nowUs, 0).why()).isEqualTo("by an operator; 1 still out");
        book.listed(nowUs, 0, WorkerState.READY, false, 0);
        look();
        book.listed(nowUs, 0, WorkerState.DRAINING, false, 0);
        look();
        job.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        look();
        assertThat(book.view(nowUs, 0).why()).isEqualTo("by the list; nothing is out there");
        book.listed(nowUs, 0, WorkerState.GONE, false, 0);
        look();
        book.listed(nowUs, 0, WorkerState.READY, false, nowUs);
        look();
        assertThat(changes)
                .containsExactly("0:draining", "0:taking", "0:draining", "0:gone", "0:cold");
        pass(11 * S);
        assertThat(condition(0)).isEqualTo(Condition.TAKING);
    }

    @Test
    void goneWorkersAreForgottenOnceNothingIsOutThere() {
        final Job job = start(0);
        book.listed(nowUs, 0, WorkerState.GONE, false, 0);
        pass(HealthTracker.GONE_SHOWN_US + S);
        assertThat(book.view(nowUs, 0).why()).isEqualTo("not on the list; 1 still out");
        job.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        look();
        assertThat(book.workers()).containsExactly(1, 2, 3);
    }

    @Test
    void figuresAreOfTheLastMinuteAndTen() {
        for (int i = 0; i < 30; i++) {
            serve(0, 100 * MS);
        }
        serve(0, 3 * S);
        final HealthTracker.View busy = book.view(nowUs, 0);
        assertThat(busy.ratePerS()).isBetween(0.5, 0.53);
        assertThat(busy.minute().p50Ms()).isBetween(95L, 106L);
        assertThat(busy.minute().p99Ms()).isBetween(2_800L, 3_200L);
        assertThat(Arrays.stream(busy.sparks()).sum()).isEqualTo(31);
        pass(70 * S);
        assertThat(book.view(nowUs, 0).ratePerS()).isZero();
        assertThat(book.view(nowUs, 0).minute()).isEqualTo(new HealthTracker.Times(-1, -1));
        assertThat(book.view(nowUs, 0).tenMinutes().p50Ms()).isBetween(95L, 106L);
        pass(601 * S);
        assertThat(book.view(nowUs, 0).tenMinutes().p50Ms()).isEqualTo(-1);
    }

    @Test
    void priorityWeightKeptCountsWhatCameInTime() {
        assertThat(book.weightedServedFraction(nowUs)).isEqualTo(-1);
        book.asked(nowUs, 0);
        book.answered(nowUs, 0, Answer.SERVED, 1, 2 * S, 500 * MS);
        book.answered(nowUs, 0, Answer.SERVED, 1, 2 * S + 1, 500 * MS);
        book.answered(nowUs, 1, Answer.REFUSED, 0, 0, 0);
        book.answered(nowUs, 1, Answer.LEFT, 1, 0, 0);
        assertThat(book.weightedServedFraction(nowUs)).isEqualTo(2.0 / 9);
        final HealthTracker.ClassView view = book.classView(nowUs, 0);
        assertThat(List.of(view.asked(), view.admitted(), view.served(), view.inTime()))
                .containsExactly(1, 2, 2, 1);
    }

    /** A thousand workers, each with every slice of time in use, as the class comment states. */
    @Test
    void memoryOfAThousandWorkersIsBounded() {
        final HealthTracker large =
                new HealthTracker(
                        Thresholds.usual(S, 0),
                        List.of(
                                new LatencyObjective(1, S, 2),
                                new LatencyObjective(1, S, 2),
                                new LatencyObjective(1, S, 2)));
        final long before = used();
        for (long at = 0; at < 600; at += 5) {
            for (int worker = 0; worker < 1_000; worker++) {
                final Job job = large.sent(at * S, worker, worker % 3);
                job.ended(at * S + 25 * S, Outcome.SERVED, new LoadReport(1, 1, 1));
            }
        }
        final long each = (used() - before) / 1_000;
        System.out.println("health: " + each + " bytes a worker at 1,000 workers");
        // Other tests in this process live and die meanwhile, so that the figure is rough.
        assertThat(each).isLessThan(40_000L);
        assertThat(large.workers()).hasSize(1_000);
    }

    private static long used() {
        final Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
