package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how each condition begins and ends, and that conditions do not flap. */
class HealthTrackerTest {

    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;
    private static final long EVALUATION_INTERVAL_US = 250 * MS;

    private final HealthTracker tracker =
            new HealthTracker(
                    HealthThresholds.defaults(S, 8 * S),
                    List.of(new LatencyObjective(2, S, 2), new LatencyObjective(5, 4 * S, 2)));
    private final List<String> changes = new ArrayList<>();
    private long nowUs = 1_000 * S;

    HealthTrackerTest() {
        for (int worker = 0; worker < 4; worker++) {
            tracker.workerListed(nowUs, worker, new WorkerListing(WorkerState.READY, false, 0));
        }
        evaluate();
    }

    private void evaluate() {
        for (final ConditionChange each : tracker.evaluate(nowUs)) {
            if (each.from().isPresent()) {
                changes.add(each.worker() + ":" + each.to().word());
            }
        }
    }

    private void advance(long us) {
        for (long left = us; left > 0; left -= EVALUATION_INTERVAL_US) {
            nowUs += Math.min(left, EVALUATION_INTERVAL_US);
            evaluate();
        }
    }

    private TrackedAttempt start(int worker) {
        final TrackedAttempt attempt = tracker.attemptSent(nowUs, worker, 0);
        attempt.progressReported(nowUs);
        return attempt;
    }

    private void serve(int worker, long runTimeUs) {
        final TrackedAttempt attempt = start(worker);
        nowUs += runTimeUs;
        attempt.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
    }

    private WorkerHealthSnapshot snapshot(int worker) {
        return tracker.worker(nowUs, worker).orElseThrow();
    }

    private WorkerCondition condition(int worker) {
        return snapshot(worker).condition();
    }

    /** Gives the class a median running time of 200 ms, the reference for slowness. */
    private void serveAtUsualSpeed() {
        for (int i = 0; i < 40; i++) {
            serve(i % 4, 200 * MS);
        }
        evaluate();
    }

    @Test
    void unresponsiveWhenRunningJobsReportNoProgress() {
        serveAtUsualSpeed();
        final TrackedAttempt attempt = start(1);
        advance(2 * S);
        attempt.progressReported(nowUs);
        advance(2 * S);
        assertThat(condition(1)).isEqualTo(WorkerCondition.HEALTHY);
        advance(2 * S);
        assertThat(condition(1)).isEqualTo(WorkerCondition.UNRESPONSIVE);
        assertThat(snapshot(1).reason()).isEqualTo("nothing heard of its 1 jobs");
        attempt.progressReported(nowUs);
        advance(S);
        // A better condition takes effect after a longer delay than a worse one.
        assertThat(condition(1)).isEqualTo(WorkerCondition.UNRESPONSIVE);
        attempt.progressReported(nowUs);
        advance(2 * S);
        assertThat(changes).containsExactly("1:silent", "1:taking");
    }

    /** Jobs of other dispatchers may be ahead in the worker's queue. */
    @Test
    void queuedJobsHaveALongerInactivityLimit() {
        final TrackedAttempt attempt = tracker.attemptSent(nowUs, 1, 0);
        advance(9 * S);
        assertThat(condition(1)).isEqualTo(WorkerCondition.HEALTHY);
        advance(2 * S);
        assertThat(condition(1)).isEqualTo(WorkerCondition.UNRESPONSIVE);
        attempt.ended(nowUs, Outcome.TIMED_OUT, LoadReport.NONE);
        // A time-out is not activity; without attempts the worker stays unresponsive for a while.
        advance(5 * S);
        assertThat(condition(1)).isEqualTo(WorkerCondition.UNRESPONSIVE);
        advance(30 * S);
        assertThat(condition(1)).isEqualTo(WorkerCondition.HEALTHY);
    }

    @Test
    void unresponsiveWhenConnectionsFail() {
        for (int i = 0; i < 3; i++) {
            tracker.attemptSent(nowUs, 2, 0).ended(nowUs, Outcome.CONNECT_FAILED, LoadReport.NONE);
        }
        advance(S);
        assertThat(condition(2)).isEqualTo(WorkerCondition.UNRESPONSIVE);
        assertThat(snapshot(2).reason()).isEqualTo("3 connections in a row failed");
        serve(2, 100 * MS);
        advance(3 * S);
        assertThat(condition(2)).isEqualTo(WorkerCondition.HEALTHY);
    }

    @Test
    void slowComparedWithOtherWorkersUntilBelowALowerLimit() {
        serveAtUsualSpeed();
        for (int i = 0; i < 12; i++) {
            serve(3, 900 * MS);
            serve(0, 200 * MS);
            evaluate();
        }
        advance(S);
        assertThat(condition(3)).isEqualTo(WorkerCondition.SLOW);
        assertThat(snapshot(3).reason())
                .matches("jobs run [3-5]\\.[0-9] times as long as elsewhere");
        assertThat(condition(0)).isEqualTo(WorkerCondition.HEALTHY);
        for (int i = 0; i < 20; i++) {
            serve(3, 200 * MS);
            evaluate();
        }
        advance(3 * S);
        assertThat(changes).containsExactly("3:slowing", "3:taking");
    }

    /** Guards against flapping: between the two slowness factors the condition does not change. */
    @Test
    void conditionIsStableBetweenTheLimits() {
        serveAtUsualSpeed();
        for (int i = 0; i < 60; i++) {
            serve(3, i % 2 == 0 ? 330 * MS : 390 * MS);
            serve(0, 200 * MS);
            serve(1, 200 * MS);
            evaluate();
        }
        assertThat(changes).isEmpty();
    }

    @Test
    void oneHeavyJobDoesNotMakeItsWorkerSlow() {
        serveAtUsualSpeed();
        final TrackedAttempt heavy = start(1);
        for (int i = 0; i < 10; i++) {
            nowUs += S;
            heavy.progressReported(nowUs);
            evaluate();
        }
        heavy.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        advance(3 * S);
        assertThat(changes).isEmpty();
        // Two of two running jobs are delayed, which is attributed to the worker.
        final List<TrackedAttempt> delayed = List.of(start(1), start(1));
        for (int i = 0; i < 4; i++) {
            nowUs += S;
            delayed.forEach(each -> each.progressReported(nowUs));
            evaluate();
        }
        assertThat(condition(1)).isEqualTo(WorkerCondition.SLOW);
    }

    @Test
    void overloadedByItsReportWhileThatIsFresh() {
        final TrackedAttempt attempt = start(0);
        for (int i = 0; i < 4; i++) {
            nowUs += S;
            attempt.progressReported(nowUs);
            tracker.loadReported(nowUs, 0, new LoadReport(0, -1, 3));
            evaluate();
        }
        assertThat(condition(0)).isEqualTo(WorkerCondition.OVERLOADED);
        assertThat(snapshot(0).reason()).isEqualTo("no free slot and 3 waiting");
        attempt.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        advance(8 * S);
        assertThat(condition(0)).isEqualTo(WorkerCondition.HEALTHY);
        assertThat(snapshot(0).load().queued()).isEqualTo(3);
    }

    @Test
    void overloadedWhenItRejectsJobs() {
        for (int i = 0; i < 12; i++) {
            tracker.attemptSent(nowUs, 0, 0).ended(nowUs, Outcome.FULL, LoadReport.NONE);
            advance(EVALUATION_INTERVAL_US);
        }
        assertThat(condition(0)).isEqualTo(WorkerCondition.OVERLOADED);
        assertThat(snapshot(0).failed()).isEqualTo(12);
    }

    @Test
    void endpointListAndOperatorTakeEffectAtOnce() {
        final TrackedAttempt attempt = start(0);
        tracker.workerListed(nowUs, 0, new WorkerListing(WorkerState.READY, true, 0));
        evaluate();
        assertThat(snapshot(0).reason()).isEqualTo("by an operator; 1 still out");
        tracker.workerListed(nowUs, 0, new WorkerListing(WorkerState.READY, false, 0));
        evaluate();
        tracker.workerListed(nowUs, 0, new WorkerListing(WorkerState.DRAINING, false, 0));
        evaluate();
        attempt.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        evaluate();
        assertThat(snapshot(0).reason()).isEqualTo("by the list; nothing is out there");
        tracker.workerListed(nowUs, 0, new WorkerListing(WorkerState.GONE, false, 0));
        evaluate();
        tracker.workerListed(nowUs, 0, new WorkerListing(WorkerState.READY, false, nowUs));
        evaluate();
        assertThat(changes)
                .containsExactly("0:draining", "0:taking", "0:draining", "0:gone", "0:cold");
        advance(11 * S);
        assertThat(condition(0)).isEqualTo(WorkerCondition.HEALTHY);
    }

    @Test
    void removedWorkersAreDroppedOnceNoAttemptIsInFlight() {
        final TrackedAttempt attempt = start(0);
        tracker.workerListed(nowUs, 0, new WorkerListing(WorkerState.GONE, false, 0));
        advance(HealthTracker.REMOVED_KEPT_US + S);
        assertThat(snapshot(0).reason()).isEqualTo("not on the list; 1 still out");
        attempt.ended(nowUs, Outcome.SERVED, LoadReport.NONE);
        evaluate();
        assertThat(tracker.workers()).containsExactly(1, 2, 3);
    }

    @Test
    void ratesAndLatenciesCoverTheirWindows() {
        for (int i = 0; i < 30; i++) {
            serve(0, 100 * MS);
        }
        serve(0, 3 * S);
        final WorkerHealthSnapshot busy = snapshot(0);
        assertThat(busy.servedPerS()).isBetween(0.5, 0.53);
        assertThat(busy.lastMinute().p50Ms()).isBetween(95L, 106L);
        assertThat(busy.lastMinute().p99Ms()).isBetween(2_800L, 3_200L);
        assertThat(Arrays.stream(busy.servedPerSlice()).sum()).isEqualTo(31);
        advance(70 * S);
        assertThat(snapshot(0).servedPerS()).isZero();
        assertThat(snapshot(0).lastMinute()).isEqualTo(new LatencyPercentiles(-1, -1));
        assertThat(snapshot(0).lastTenMinutes().p50Ms()).isBetween(95L, 106L);
        advance(601 * S);
        assertThat(snapshot(0).lastTenMinutes().p50Ms()).isEqualTo(-1);
    }

    @Test
    void weightedServedFractionCountsRequestsWithinTheirObjective() {
        assertThat(tracker.weightedServedFraction(nowUs)).isEmpty();
        tracker.requestArrived(nowUs, 0);
        tracker.requestEnded(nowUs, 0, RequestResult.SERVED, 1, 2 * S, 500 * MS);
        tracker.requestEnded(nowUs, 0, RequestResult.SERVED, 1, 2 * S + 1, 500 * MS);
        tracker.requestEnded(nowUs, 1, RequestResult.REJECTED, 0, 0, 0);
        tracker.requestEnded(nowUs, 1, RequestResult.CLIENT_LEFT, 1, 0, 0);
        assertThat(tracker.weightedServedFraction(nowUs)).hasValue(2.0 / 9);
        final ClassHealthSnapshot view = tracker.requestClass(nowUs, 0);
        assertThat(List.of(view.arrived(), view.admitted(), view.served(), view.withinObjective()))
                .containsExactly(1, 2, 2, 1);
    }

    /**
     * Guards the memory bound in the comment of {@link HealthTracker}: a thousand workers, each
     * with every time slice in use.
     */
    @Test
    void memoryOfAThousandWorkersIsBounded() {
        final HealthTracker large =
                new HealthTracker(
                        HealthThresholds.defaults(S, 0),
                        List.of(
                                new LatencyObjective(1, S, 2),
                                new LatencyObjective(1, S, 2),
                                new LatencyObjective(1, S, 2)));
        final long before = usedHeapBytes();
        for (long at = 0; at < 600; at += 5) {
            for (int worker = 0; worker < 1_000; worker++) {
                final TrackedAttempt attempt = large.attemptSent(at * S, worker, worker % 3);
                attempt.ended(at * S + 25 * S, Outcome.SERVED, new LoadReport(1, 1, 1));
            }
        }
        final long each = (usedHeapBytes() - before) / 1_000;
        System.out.println("health: " + each + " bytes a worker at 1,000 workers");
        // Other tests run in this process, so the figure is rough.
        assertThat(each).isLessThan(40_000L);
        assertThat(large.workers()).hasSize(1_000);
    }

    private static long usedHeapBytes() {
        final Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
