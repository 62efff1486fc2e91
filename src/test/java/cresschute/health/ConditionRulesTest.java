package cresschute.health;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import org.junit.jupiter.api.Test;

/** Tests the order of the rules: the first rule that holds decides. */
class ConditionRulesTest {

    private static final long S = 1_000_000;
    private static final long NOW_US = 1_000 * S;
    private final ConditionRules rules = new ConditionRules(HealthThresholds.defaults(S, 8 * S));
    private final ClassHealth requestClass = new ClassHealth(0, new LatencyObjective(1, S, 2));
    private final WorkerHealth worker =
            new WorkerHealth(1, new WorkerListing(WorkerState.READY, false, 0), NOW_US);

    private void list(WorkerState state, boolean drainedByOperator, long processStartUs) {
        worker.listed(new WorkerListing(state, drainedByOperator, processStartUs));
    }

    private TrackedAttempt send() {
        final TrackedAttempt attempt = new TrackedAttempt(worker, requestClass, NOW_US);
        worker.attemptStarted(NOW_US, attempt);
        requestClass.attemptStarted();
        return attempt;
    }

    private void expect(long nowUs, WorkerCondition condition, String reason) {
        assertThat(rules.assess(nowUs, worker)).isEqualTo(new Assessment(condition, reason));
    }

    @Test
    void firstRuleThatHoldsDecides() {
        expect(NOW_US, WorkerCondition.HEALTHY, "");
        send().ended(NOW_US, Outcome.FULL, LoadReport.NONE);
        expect(NOW_US, WorkerCondition.OVERLOADED, "it turned jobs away");
        worker.loadReported(NOW_US, new LoadReport(0.5, -1, 2));
        expect(NOW_US, WorkerCondition.OVERLOADED, "no free slot and 2 waiting");
        for (int i = 0; i < 5; i++) {
            worker.slowness().add(300, 100);
        }
        expect(NOW_US, WorkerCondition.SLOW, "jobs run 3.0 times as long as elsewhere");
        list(WorkerState.READY, false, NOW_US - S);
        expect(NOW_US, WorkerCondition.WARMING_UP, "started a short while ago");
        for (int i = 0; i < 3; i++) {
            send().ended(NOW_US, Outcome.CONNECT_FAILED, LoadReport.NONE);
        }
        expect(NOW_US, WorkerCondition.UNRESPONSIVE, "3 connections in a row failed");
        list(WorkerState.DRAINING, false, NOW_US - S);
        expect(NOW_US, WorkerCondition.DRAINING, "by the list; nothing is out there");
        list(WorkerState.READY, true, NOW_US - S);
        expect(NOW_US, WorkerCondition.DRAINING, "by an operator; nothing is out there");
        send();
        expect(NOW_US, WorkerCondition.DRAINING, "by an operator; 1 still out");
        list(WorkerState.GONE, true, NOW_US - S);
        expect(NOW_US, WorkerCondition.REMOVED, "not on the list; 1 still out");
    }

    @Test
    void startedJobsHaveAShorterInactivityLimit() {
        final TrackedAttempt attempt = send();
        expect(NOW_US + 10 * S - 1, WorkerCondition.HEALTHY, "");
        expect(NOW_US + 10 * S, WorkerCondition.UNRESPONSIVE, "nothing heard of its 1 jobs");
        attempt.progressReported(NOW_US + S);
        expect(NOW_US + S + 2_700_000 - 1, WorkerCondition.HEALTHY, "");
        expect(NOW_US + S + 2_700_000, WorkerCondition.UNRESPONSIVE, "nothing heard of its 1 jobs");
    }

    @Test
    void newProcessResetsSlownessAndFailedConnections() {
        for (int i = 0; i < 5; i++) {
            worker.slowness().add(300, 100);
            send().ended(NOW_US, Outcome.CONNECT_FAILED, LoadReport.NONE);
        }
        list(WorkerState.READY, false, NOW_US - 100 * S);
        expect(NOW_US, WorkerCondition.HEALTHY, "");
    }

    @Test
    void ignoresOldReportsAndRejections() {
        send().ended(NOW_US, Outcome.FULL, new LoadReport(0, -1, 3));
        expect(NOW_US + 5 * S - 1, WorkerCondition.OVERLOADED, "no free slot and 3 waiting");
        expect(NOW_US + 5 * S, WorkerCondition.HEALTHY, "");
    }
}
