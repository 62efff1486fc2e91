package cresschute.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.SlowStartSettings;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.AttemptRejected;
import cresschute.testbed.Observation.EffectApplied;
import cresschute.testbed.Observation.OperatorDrained;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestLost;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RequestUnanswered;
import cresschute.testbed.Observation.RequestUnfinished;
import cresschute.testbed.Observation.RunDone;
import cresschute.testbed.Observation.UnexpectedAnswer;
import cresschute.testbed.Observation.WorkerBooted;
import cresschute.testbed.Observation.WorkerListed;
import cresschute.testbed.Observation.WorkerOverloaded;
import cresschute.testbed.RequestOutcomes.End;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that the rule checker reports each way to break each rule, and accepts cases that come
 * close without breaking it.
 */
class RuleCheckerTest {

    private static final long S = 1_000_000;
    private static final SlowStartSettings COLD = new SlowStartSettings(0.5, 10 * S, 2, S);
    private static final List<JobClass> CLASSES =
            List.of(
                    jobClass("safe", Idempotency.SAFE, DeduplicationScope.ALL, 3),
                            jobClass("keyed", Idempotency.KEYED, DeduplicationScope.CELL, 3),
                    jobClass("wide", Idempotency.KEYED, DeduplicationScope.ALL, 3),
                            jobClass("unsafe", Idempotency.UNSAFE, DeduplicationScope.ALL, 3));

    private final List<Observation> seen = new ArrayList<>();

    private static JobClass jobClass(
            String name, Idempotency effect, DeduplicationScope scope, int sends) {
        return new JobClass(name, 2, S, 1, 5 * S, effect, scope, 4 * S, sends, 1, S);
    }

    private List<String> breaches() {
        return RuleChecker.check(seen, CLASSES, COLD).stream()
                .map(each -> each.rule() + ": " + each.what())
                .toList();
    }

    private void sent(String id, String className) {
        seen.add(
                new RequestSent(
                        0, id, id, className, className.equals("safe") ? null : "k", S, 1, 5 * S));
    }

    private void received(long us, String worker, int cell, String id) {
        seen.add(new AttemptReceived(us, us, worker, cell, id, null, S));
    }

    private void served(String id, String result) {
        seen.add(new RunDone(S, "w1", id, "w1 did " + id));
        seen.add(new RequestAnswered(S, id, 200, result));
    }

    @Test
    void acceptsSoundRun() {
        sent("a", "safe");
        received(1, "w1", 0, "a");
        served("a", "w1 did a");
        sent("b", "keyed");
        received(2, "w1", 0, "b");
        received(3, "w2", 0, "b");
        seen.add(new EffectApplied(9, "w2", "b", "k"));
        seen.add(new RequestAnswered(9, "b", 503, "refused"));
        sent("c", "safe");
        seen.add(new RequestUnfinished(9, "c"));
        assertThat(breaches()).isEmpty();
    }

    @Test
    void reportsRequestsWithoutExactlyOneAnswer() {
        sent("a", "safe");
        seen.add(new RequestAnswered(1, "a", 503, ""));
        seen.add(new RequestAnswered(2, "a", 503, ""));
        seen.add(new RequestAnswered(3, "x", 503, ""));
        sent("b", "safe");
        seen.add(new RequestLost(4, "b"));
        sent("c", "safe");
        seen.add(new RequestUnanswered(5, "c"));
        seen.add(new UnexpectedAnswer(6, "d"));
        sent("e", "safe");
        received(1, "w1", 0, "e");
        served("e", "made up");
        sent("f", "safe");
        received(1, "w1", 0, "f");
        served("f", "w1 did e");
        assertThat(breaches())
                .containsExactly(
                        "ONE_ANSWER: a second answer to a",
                        "ONE_ANSWER: an answer to x, which no client sent",
                        "ONE_ANSWER: the connection of b ended without an answer",
                        "ONE_ANSWER: no answer to c",
                        "ONE_ANSWER: an unexpected answer: d",
                        "ONE_ANSWER: e was served with a result that no worker produced",
                        "ONE_ANSWER: f was served with a result that no worker produced");
    }

    @Test
    void reportsRepeatsThatRequestClassForbids() {
        sent("a", "safe");
        received(1, "w1", 0, "a");
        received(2, "w2", 1, "a");
        received(3, "w1", 0, "a");
        sent("b", "safe");
        for (int i = 0; i < 4; i++) {
            received(i, "w" + i, 0, "b");
        }
        sent("c", "keyed");
        received(1, "w1", 0, "c");
        received(2, "w2", 1, "c");
        sent("d", "keyed");
        received(1, "w1", 0, "d");
        received(4 * S + 2, "w2", 0, "d");
        sent("e", "wide");
        received(1, "w1", 0, "e");
        received(2, "w2", 1, "e");
        sent("f", "unsafe");
        received(1, "w1", 0, "f");
        received(2, "w1", 0, "f");
        received(3, "w1", 0, "g");
        assertThat(breaches())
                .containsExactly(
                        "NO_EFFECT_TWICE: b was sent 4 times; 3 are allowed",
                        "NO_EFFECT_TWICE: c was sent to cell 0 and again to cell 1",
                        "NO_EFFECT_TWICE: d was sent again after its deduplication window",
                        "NO_EFFECT_TWICE: f is unsafe to repeat and was sent again",
                        "NO_EFFECT_TWICE: workers were sent g, which no client sent");
    }

    /** A rejected request never ran, so that it may go to any worker. */
    @Test
    void ignoresAttemptsThatWorkerRejected() {
        sent("a", "unsafe");
        received(1, "w1", 0, "a");
        seen.add(new AttemptRejected(1, "w1", "a"));
        received(2, "w2", 1, "a");
        assertThat(breaches()).isEmpty();
    }

    @Test
    void reportsSecondEffectOfKey() {
        seen.add(new EffectApplied(1, "w1", "a", "k1"));
        seen.add(new EffectApplied(2, "w1", "b", "k2"));
        seen.add(new EffectApplied(3, "w2", "again-a", "k1"));
        assertThat(breaches())
                .containsExactly("NO_EFFECT_TWICE: key k1 took effect at w1 and again at w2");
    }

    @Test
    void reportsSendToDrainingWorker() {
        sent("a", "safe");
        sent("b", "safe");
        sent("c", "safe");
        seen.add(new WorkerListed(S, "w1", "DRAINING", 0));
        seen.add(new WorkerListed(S + 300_000, "w1", "DRAINING", 0));
        received(S + 450_000, "w1", 0, "a");
        // The last byte arrived late but the first in time; the first byte counts for drains.
        seen.add(new AttemptReceived(S + 900_000, S + 440_000, "w1", 0, "b", null, S));
        assertThat(breaches()).isEmpty();
        received(S + 451_000, "w1", 0, "c");
        assertThat(breaches())
                .containsExactly(
                        "DRAINS_KEPT: w1 was sent c 451 ms after the endpoint list reported its"
                                + " drain");
        seen.add(seen.size() - 1, new WorkerListed(S + 450_500, "w1", "SERVING", 0));
        assertThat(breaches()).isEmpty();
    }

    /**
     * An operator drain and a drain by the endpoint list are independent: the end of one does not
     * end the other.
     */
    @Test
    void reportsSendDuringOperatorDrain() {
        sent("c", "safe");
        seen.add(new OperatorDrained(S, "w1", true));
        seen.add(new WorkerListed(S + 100_000, "w1", "DRAINING", 0));
        seen.add(new WorkerListed(S + 200_000, "w1", "SERVING", 0));
        received(S + 451_000, "w1", 0, "c");
        assertThat(breaches())
                .containsExactly(
                        "DRAINS_KEPT: w1 was sent c 451 ms after an operator's drain was"
                                + " confirmed");
        seen.add(new OperatorDrained(S + 300_000, "w1", false));
        assertThat(breaches()).isEmpty();
    }

    @Test
    void reportsOverloadOfColdWorker() {
        // Half of 4 slots at the start, times the overload factor 2, within 1 s: 4 s of work.
        seen.add(new WorkerBooted(0, "w1", 4));
        seen.add(new WorkerListed(0, "w1", "SERVING", 5));
        for (int i = 0; i < 4; i++) {
            sent("a" + i, "safe");
            received(1_000 + i, "w1", 0, "a" + i);
        }
        assertThat(breaches()).isEmpty();
        sent("b", "safe");
        received(2_000, "w1", 0, "b");
        assertThat(breaches())
                .containsExactly(
                        "COLD_STARTS_KEPT: w1 was sent 5000 ms of work within 1000 ms, 2 ms after"
                                + " its start; it can take 4001");
        seen.remove(seen.size() - 1);
        received(11 * S, "w1", 0, "b");
        assertThat(breaches()).isEmpty();
        seen.add(new WorkerOverloaded(12 * S, "w1"));
        assertThat(breaches()).containsExactly("COLD_STARTS_KEPT: w1 crashed from overload");
    }

    /** A node that was not notified of a start cannot limit what it sends. */
    @Test
    void ignoresStartsThatNodeWasNotToldOf() {
        seen.add(new WorkerBooted(0, "w1", 4));
        for (int i = 0; i < 9; i++) {
            sent("a" + i, "safe");
            received(i, "w1", 0, "a" + i);
        }
        assertThat(breaches()).isEmpty();
    }

    @Test
    void countsRetriesAsPartOfFirstAttempt() {
        seen.add(new RequestSent(0, "a", "a", "safe", null, S, 1, 5 * S));
        seen.add(new RequestAnswered(S, "a", 503, ""));
        seen.add(new RequestSent(S, "again-1-a", "a", "safe", null, S, 1, 5 * S));
        seen.add(new RequestAnswered(2 * S, "again-1-a", 200, "x"));
        seen.add(new RequestSent(0, "b", "b", "safe", null, S, 1, 5 * S));
        seen.add(new RequestAnswered(2 * S + 1, "b", 200, "x"));
        seen.add(new RequestSent(0, "c", "c", "safe", null, S, 1, 5 * S));
        seen.add(new RequestAnswered(1, "c", 500, ""));
        seen.add(new RequestSent(0, "d", "d", "safe", null, S, 1, 5 * S));
        seen.add(new RequestUnanswered(1, "d"));
        seen.add(new RequestSent(0, "e", "e", "safe", null, S, 1, 5 * S));
        final RequestOutcomes outcomes = RequestOutcomes.of(seen, CLASSES);
        assertThat(outcomes.asked()).isEqualTo(5);
        assertThat(outcomes.ended(End.SERVED)).isEqualTo(2);
        assertThat(outcomes.ended(End.REFUSED)).isZero();
        assertThat(outcomes.ended(End.FAILED)).isEqualTo(1);
        assertThat(outcomes.ended(End.UNANSWERED)).isEqualTo(1);
        assertThat(outcomes.ended(End.UNFINISHED)).isEqualTo(1);
        assertThat(outcomes.inTime()).isEqualTo(1);
        assertThat(outcomes.weightedServedFraction()).isEqualTo(0.25);
        assertThat(outcomes.classes().get("safe").servedMs(50)).isBetween(1999.0, 2001.0);
    }
}
