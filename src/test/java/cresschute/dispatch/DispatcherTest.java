package cresschute.dispatch;

import static cresschute.dispatch.RecordingActions.SECOND;
import static cresschute.dispatch.RecordingActions.in;
import static cresschute.dispatch.RecordingActions.job;
import static cresschute.dispatch.RecordingActions.settings;
import static cresschute.dispatch.RecordingActions.worker;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class DispatcherTest {

    private static RecordingActions with(Idempotency effect, DeduplicationScope scope) {
        return new RecordingActions(settings(List.of(job(1, effect, scope))));
    }

    private static RecordingActions twoSafeWorkers() {
        return with(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
    }

    // ---- one answer for each request ----

    @Test
    void withoutWorkersARequestIsHeldAndRefusedInTime() {
        final RecordingActions host =
                with(Idempotency.UNSAFE, DeduplicationScope.ALL).list(EndpointListForm.CACHED);
        host.request(1, 0);
        assertThat(host.refused).isEmpty();
        host.pass(5 * SECOND);
        assertThat(host.refused).containsExactly(1);
        assertThat(host.failed).isEmpty();
    }

    @Test
    void aHeldRequestGoesOutWhenAWorkerComes() {
        final RecordingActions host =
                with(Idempotency.SAFE, DeduplicationScope.ALL).list(EndpointListForm.CACHED);
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, worker(9, 0, 0));
        host.pass(SECOND / 5);
        assertThat(host.sends).containsExactly(new RecordingActions.Send(1, 9));
    }

    @Test
    void aTimeOutAtTheDeadlineIsAnsweredAtOnce() {
        final RecordingActions host =
                with(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.pass(5 * SECOND);
        host.end(1, 0, 1, Outcome.TIMED_OUT);
        assertThat(host.failed).containsExactly(1);
        host.pass(SECOND);
        assertThat(host.sends).hasSize(1);
    }

    @Test
    void nothingIsSentAfterTheClientLeft() {
        final RecordingActions host = twoSafeWorkers();
        host.request(1, 0);
        host.module.clientLeft(host.nowUs, 1);
        host.end(1, 0, host.lastSend().worker(), Outcome.FULL);
        host.pass(SECOND);
        assertThat(host.log).hasSize(1);
    }

    @Test
    void lateAndUnknownNewsIsIgnored() {
        final RecordingActions host = twoSafeWorkers();
        host.request(1, 0);
        final int worker = host.lastSend().worker();
        host.end(1, 0, worker, Outcome.SERVED);
        host.end(1, 0, worker, Outcome.FULL);
        host.end(77, 3, 5, Outcome.BROKEN);
        host.module.jobProgressed(host.nowUs, 1, 0, worker, 0.5);
        host.module.clientLeft(host.nowUs, 1);
        host.module.timerFired(host.nowUs, 123);
        assertThat(host.log).hasSize(1);
    }

    /**
     * Rude clients' requests made every worker rest, one after the other, and were sent five times
     * each.
     */
    @Test
    void anUnusableRequestFailsAtOnceAndSaysNothingOfItsWorker() {
        final RecordingActions host = twoSafeWorkers();
        for (int id = 1; id <= 40; id++) {
            host.request(id, 0);
            host.end(
                    id,
                    0,
                    host.lastSend().worker(),
                    host.lastSend().worker() == 1 ? Outcome.UNUSABLE : Outcome.SERVED);
        }
        assertThat(host.sends).hasSize(40);
        assertThat(host.sends.subList(20, 40))
                .extracting(RecordingActions.Send::worker)
                .contains(1);
        assertThat(host.sends).filteredOn(send -> send.worker() == 1).hasSameSizeAs(host.failed);
        assertThat(host.refused).isEmpty();
    }

    private static RecordingActions withARunningJob(Idempotency effect) {
        final RequestClass patient =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        effect,
                        DeduplicationScope.CELL,
                        SECOND * 4,
                        Placement.ANYWHERE);
        final RecordingActions host =
                new RecordingActions(RecordingActions.copying(List.of(patient)))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 1),
                                worker(4, 0, 1));
        host.request(1, 0);
        host.module.jobProgressed(host.nowUs, 1, 0, host.lastSend().worker(), 0);
        return host;
    }

    /**
     * nairobi-noms: workers hang for up to 25 s, and their jobs were waited for until their time
     * was up.
     */
    @ParameterizedTest
    @EnumSource
    void aJobWhoseProgressNotesStopIsCopiedWhereItsClassAllows(Idempotency effect) {
        final RecordingActions host = withARunningJob(effect);
        final int first = host.lastSend().worker();
        host.pass(SECOND * 3 / 2);
        assertThat(host.sends).hasSize(1);
        host.pass(SECOND);
        assertThat(host.sends).hasSize(effect == Idempotency.UNSAFE ? 1 : 2);
        if (effect == Idempotency.KEYED) {
            assertThat((host.lastSend().worker() - 1) / 2).isEqualTo((first - 1) / 2);
        }
        host.sends.clear();
        for (int id = 2; id < 20; id++) {
            host.request(id, 0);
        }
        assertThat(host.sends)
                .hasSize(18)
                .extracting(RecordingActions.Send::worker)
                .doesNotContain(first);
    }

    /**
     * zone+vast, join+vast: 14 dispatchers each saw a worker as free by one old report, and 17 in
     * 100 jobs waited in its queue for up to 3 s while 50 of 60 workers had a free slot.
     */
    @ParameterizedTest(name = "{0}, told of its start: {1}")
    @CsvSource({"SAFE, false, 2", "SAFE, true, 1", "KEYED, false, 2", "UNSAFE, false, 1"})
    void aJobThatHasNotStartedByHalfItsSlackIsCopied(
            Idempotency effect, boolean started, int sends) {
        final RequestClass patient =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        effect,
                        DeduplicationScope.CELL,
                        SECOND * 4,
                        Placement.ANYWHERE);
        final RecordingActions host =
                new RecordingActions(RecordingActions.copying(List.of(patient)))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 1),
                                worker(4, 0, 1));
        host.request(1, 0);
        final int first = host.lastSend().worker();
        if (started) {
            host.module.jobProgressed(host.nowUs, 1, 0, first, 0);
        }
        // It may wait 1 s of aim and a run of 2 s beyond its own: the copy comes after half of
        // those 3 s.
        host.pass(SECOND * 14 / 10);
        assertThat(host.sends).hasSize(1);
        host.pass(SECOND * 2 / 10);
        assertThat(host.sends).hasSize(sends);
        if (sends == 2) {
            assertThat(host.lastSend().worker()).isNotEqualTo(first);
        }
        if (sends == 2 && effect == Idempotency.KEYED) {
            assertThat((host.lastSend().worker() - 1) / 2).isEqualTo((first - 1) / 2);
        }
    }

    /**
     * zone+mass: 93 dispatchers copied jobs that waited in queues to workers that old reports
     * showed free; every third job ran twice while all workers were full, and short ones were late
     * for 25 s.
     */
    @ParameterizedTest(name = "{0} free slots")
    @CsvSource({"0, 1", "3, 2"})
    void aCopyGoesOnlyWhereAWorkerAnswersThatItHasRoom(int free, int sends) {
        final RequestClass patient =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        Idempotency.SAFE,
                        DeduplicationScope.ALL,
                        0,
                        Placement.ANYWHERE);
        final RecordingActions host =
                new RecordingActions(RecordingActions.copyingWhereAsked(List.of(patient)))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 0));
        host.request(1, 0);
        for (int worker = 1; worker <= 3; worker++) {
            host.module.loadReported(host.nowUs, worker, Outcome.SERVED, new LoadReport(4, -1, 0));
        }
        final int first = host.lastSend().worker();
        host.probed.clear();
        host.pass(2 * SECOND);
        assertThat(host.sends).as("sent on the news of before").hasSize(1);
        assertThat(host.probed).doesNotContain(first).hasSize(2);
        host.probed.forEach(
                worker ->
                        host.module.loadReported(
                                host.nowUs,
                                worker,
                                Outcome.SERVED,
                                new LoadReport(free, -1, 4 - free)));
        host.pass(SECOND / 10);
        assertThat(host.sends).hasSize(sends);
    }

    @Test
    void aJobThatTellsOfItsProgressIsLeftAlone() {
        final RecordingActions host = withARunningJob(Idempotency.SAFE);
        for (int second = 1; second <= 4; second++) {
            host.pass(SECOND);
            host.module.jobProgressed(host.nowUs, 1, 0, host.lastSend().worker(), 0.2 * second);
        }
        assertThat(host.sends).hasSize(1);
    }

    /** One broken stream had its worker left out until the job's time was up, 20 s on. */
    @Test
    void aSilentStreamIsNoSilentWorker() {
        final RecordingActions host = withARunningJob(Idempotency.SAFE);
        final int first = host.lastSend().worker();
        for (int id = 2; id <= 8; id++) {
            host.request(id, 0);
        }
        final List<RecordingActions.Send> others = List.copyOf(host.sends.subList(1, 8));
        assertThat(others).extracting(RecordingActions.Send::worker).contains(first);
        for (int note = 1; note <= 5; note++) {
            for (final RecordingActions.Send other : others) {
                host.module.jobProgressed(
                        host.nowUs, other.request(), 0, other.worker(), 0.1 * note);
            }
            host.pass(SECOND / 2);
        }
        host.sends.clear();
        for (int id = 9; id < 30; id++) {
            host.request(id, 0);
        }
        assertThat(host.sends).extracting(RecordingActions.Send::worker).contains(first);
    }

    // ---- no doubled effect ----

    @ParameterizedTest
    @EnumSource(names = {"FULL", "CONNECT_FAILED", "NOT_SENT"})
    void whatNeverRanIsSentElsewhereForEveryEffect(Outcome outcome) {
        for (final Idempotency effect : Idempotency.values()) {
            final RecordingActions host =
                    with(effect, DeduplicationScope.CELL)
                            .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
            host.request(1, 0);
            final int first = host.lastSend().worker();
            host.end(1, 0, first, outcome);
            host.pass(SECOND / 2);
            assertThat(host.sends).hasSize(2);
            assertThat(host.lastSend().worker()).isNotEqualTo(first);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ERROR", "TIMED_OUT", "BROKEN", "CANCELLED"})
    void anUnsafeRequestThatMayHaveRunFailsAndIsNeverRefused(Outcome outcome) {
        final RecordingActions host =
                with(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
        host.request(1, 0);
        host.end(1, 0, host.lastSend().worker(), outcome);
        host.pass(5 * SECOND);
        assertThat(host.log).hasSize(2).last().isEqualTo("fail 1");
    }

    @ParameterizedTest
    @EnumSource(names = {"CELL", "ZONE"})
    void aKeyedRequestThatMayHaveRunStaysInItsGroup(DeduplicationScope scope) {
        final RecordingActions host = with(Idempotency.KEYED, scope);
        host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1),
                worker(5, 2, 2),
                worker(6, 2, 2));
        for (int id = 1; id <= 50; id++) {
            host.request(id, 0);
            final int first = host.lastSend().worker();
            host.end(id, 0, first, Outcome.CANCELLED);
            host.pass(SECOND / 10);
            final int second = host.lastSend().worker();
            assertThat(host.lastSend().request()).isEqualTo(id);
            assertThat((second - 1) / 2).isEqualTo((first - 1) / 2);
            host.end(id, 1, second, Outcome.SERVED);
        }
    }

    @Test
    void aKeyedRequestIsNotRepeatedAfterItsWindow() {
        final RequestClass brief =
                new RequestClass(
                        1,
                        4 * SECOND,
                        2,
                        5 * SECOND,
                        Idempotency.KEYED,
                        DeduplicationScope.ALL,
                        SECOND,
                        Placement.ANYWHERE);
        final RecordingActions host = new RecordingActions(settings(List.of(brief)));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).request(1, 0);
        host.pass(SECOND + 1);
        host.end(1, 0, host.lastSend().worker(), Outcome.BROKEN);
        host.pass(SECOND);
        assertThat(host.sends).hasSize(1);
        assertThat(host.failed).containsExactly(1);
    }

    @Test
    void attemptsStayWithinTheLimit() {
        final RecordingActions host = twoSafeWorkers();
        host.request(1, 0);
        for (int attempt = 0; attempt < 8; attempt++) {
            host.end(1, attempt, host.lastSend().worker(), Outcome.FULL);
        }
        assertThat(host.sends).hasSize(4);
        assertThat(host.refused).containsExactly(1);
    }

    /**
     * Of the bounds of a class and of all classes the lower one holds, for repeats and for hedged
     * requests.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "4, 4", "9, 4"})
    void attemptsStayWithinTheLimitOfTheirClass(int ofClass, int sent) {
        final RequestClass bounded =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        Idempotency.SAFE,
                        DeduplicationScope.ALL,
                        0,
                        Placement.ANYWHERE,
                        ofClass);
        final RecordingActions host =
                new RecordingActions(settings(List.of(bounded)))
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
        host.request(1, 0);
        for (int attempt = 0; attempt < 8; attempt++) {
            host.end(1, attempt, host.lastSend().worker(), Outcome.FULL);
        }
        assertThat(host.sends).hasSize(sent);
        assertThat(host.refused).containsExactly(1);
        final RecordingActions copying =
                new RecordingActions(RecordingActions.copying(List.of(bounded)))
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
        copying.request(1, 0);
        copying.module.jobProgressed(copying.nowUs, 1, 0, copying.lastSend().worker(), 0);
        copying.pass(SECOND * 5 / 2);
        assertThat(copying.sends).hasSize(Math.min(2, ofClass));
    }

    /**
     * All workers drop a repeat of it for a while, and no longer: so long a refusal is no false
     * promise.
     */
    @Test
    void aKeyedRequestThatAllWorkersWouldDropIsRefusedWithinItsWindow() {
        final RecordingActions host = with(Idempotency.KEYED, DeduplicationScope.ALL);
        host.list(EndpointListForm.CACHED, worker(1, 0, 0)).request(1, 0);
        host.pass(2 * SECOND);
        host.end(1, 0, 1, Outcome.BROKEN);
        host.request(2, 0);
        host.pass(4 * SECOND);
        host.end(2, 0, 1, Outcome.BROKEN);
        assertThat(host.refused).containsExactly(1);
        assertThat(host.failed).containsExactly(2);
    }

    // ---- placement ----

    private static final Placement WEST = new Placement(List.of(1), null);

    /**
     * shah-alam-hub: halal-check went to a worker of the other zone in the first second of every
     * day.
     */
    @Test
    void aBoundClassKeepsItsPlacementAtEveryAttempt() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(
                                        RecordingActions.bound(
                                                Idempotency.SAFE, DeduplicationScope.ALL, WEST))));
        host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1),
                worker(5, 2, 2));
        for (int id = 1; id <= 30; id++) {
            host.request(id, 0);
            for (int attempt = 0; attempt < 4; attempt++) {
                host.end(id, attempt, host.lastSend().worker(), Outcome.CONNECT_FAILED);
                host.pass(SECOND / 20);
            }
        }
        assertThat(host.sends)
                .hasSizeGreaterThan(20)
                .extracting(RecordingActions.Send::worker)
                .containsOnly(3, 4);
    }

    @Test
    void withoutAnOpenWorkerABoundRequestWaitsAndIsEnded() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(
                                        RecordingActions.bound(
                                                Idempotency.UNSAFE,
                                                DeduplicationScope.ALL,
                                                new Placement(List.of(1), List.of(1))))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).request(1, 0);
        host.pass(5 * SECOND);
        assertThat(host.sends).isEmpty();
        assertThat(host.refused).containsExactly(1);
    }

    @Test
    void aRepeatStaysInGroupAndPlacement() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(
                                        RecordingActions.bound(
                                                Idempotency.KEYED,
                                                DeduplicationScope.CELL,
                                                WEST))));
        host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 7),
                worker(2, 0, 7),
                worker(3, 1, 7),
                worker(4, 1, 7),
                worker(5, 1, 8),
                worker(6, 1, 8));
        for (int id = 1; id <= 50; id++) {
            host.request(id, 0);
            final int first = host.lastSend().worker();
            host.end(id, 0, first, Outcome.CANCELLED);
            host.pass(SECOND / 10);
            assertThat(host.lastSend().request()).isEqualTo(id);
            assertThat(Set.of(first, host.lastSend().worker())).isIn(Set.of(3, 4), Set.of(5, 6));
            host.end(id, 1, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    // ---- full as no proof ----

    /** penang-kits: an unsafe request was sent again after 'full', which there proves nothing. */
    @Test
    void whereFullIsNoProofAnUnsafeRequestFailsAtOnce() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(job(1, Idempotency.UNSAFE, DeduplicationScope.ALL)),
                                true,
                                DispatchSettings.UNLIMITED));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).request(1, 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.FULL);
        assertThat(host.log).hasSize(2).last().isEqualTo("fail 1");
    }

    @Test
    void whereFullIsNoProofAKeyedRequestStaysInItsGroup() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(job(1, Idempotency.KEYED, DeduplicationScope.CELL)),
                                true,
                                DispatchSettings.UNLIMITED));
        host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1));
        for (int id = 1; id <= 30; id++) {
            host.request(id, 0);
            final int first = host.lastSend().worker();
            host.end(id, 0, first, Outcome.FULL);
            host.pass(SECOND / 10);
            assertThat(Set.of(first, host.lastSend().worker())).isIn(Set.of(1, 2), Set.of(3, 4));
            host.end(id, 1, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    // ---- drains and lists ----

    private static RecordingActions closing(long withinUs) {
        return new RecordingActions(
                settings(
                        List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL)),
                        false,
                        withinUs));
    }

    /** sabah-food-boxes: idle connections to a draining worker were left open. */
    @Test
    void idleConnectionsAreClosedOnTheNoticeAndAfterEachLaterOutcome() {
        final RecordingActions host =
                closing(800_000).list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.request(2, 0);
        assertThat(host.closed).isEmpty();
        host.list(EndpointListForm.CHANGES, in(WorkerState.DRAINING, 1, 0));
        assertThat(host.closed).containsExactly(1);
        host.end(1, 0, 1, Outcome.SERVED);
        assertThat(host.closed).containsExactly(1, 1);
        host.list(EndpointListForm.FULL, worker(2, 0, 0));
        host.closed.clear();
        host.end(2, 0, 1, Outcome.SERVED);
        assertThat(host.closed).containsExactly(1);
    }

    @Test
    void aWorkerThatIsFirstHeardOfAsDrainingIsClosedToo() {
        final RecordingActions host =
                closing(0).list(EndpointListForm.CACHED, in(WorkerState.DRAINING, 1, 0));
        assertThat(host.closed).containsExactly(1);
    }

    @Test
    void nothingIsClosedWhereNoTimeIsStated() {
        final RecordingActions host =
                closing(DispatchSettings.UNLIMITED).list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, in(WorkerState.DRAINING, 1, 0));
        host.end(1, 0, 1, Outcome.SERVED);
        assertThat(host.closed).isEmpty();
    }

    /**
     * A machine told of with another zone or kind is another machine: the index must not lose
     * count.
     */
    @Test
    void aWorkerThatMovesIsTakenForAnother() {
        final RecordingActions host =
                with(Idempotency.SAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.list(EndpointListForm.CHANGES, worker(1, 1, 1));
        host.list(EndpointListForm.CHANGES, new Worker(1, 2, 1, 2, WorkerState.GONE, 1, 0));
        host.request(1, 0);
        assertThat(host.sends).isEmpty();
    }

    @Test
    void nothingNewGoesToADrainingGoneOrUnlistedWorker() {
        final RecordingActions host = twoSafeWorkers();
        host.list(EndpointListForm.CHANGES, in(WorkerState.DRAINING, 1, 0));
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, in(WorkerState.READY, 1, 0));
        host.list(EndpointListForm.CHANGES, in(WorkerState.GONE, 1, 0));
        host.request(2, 0);
        host.list(EndpointListForm.FULL, worker(2, 1, 1));
        host.request(3, 0);
        assertThat(host.sends).extracting(RecordingActions.Send::worker).containsOnly(2).hasSize(3);
    }

    @Test
    void aFailedCallKeepsTheListAndIsRepeatedWithinTheLimit() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL)),
                                List.of(),
                                1,
                                true));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.pass(2 * SECOND);
        assertThat(host.watches).isEqualTo(1);
        host.list(EndpointListForm.FAILED);
        host.request(1, 0);
        assertThat(host.sends).hasSize(1);
        host.pass(2 * SECOND);
        assertThat(host.watches).isEqualTo(2);
        host.list(EndpointListForm.CHANGES);
        host.pass(20 * SECOND);
        assertThat(host.watches).isEqualTo(2);
    }

    // ---- cold workers and health ----

    @Test
    void aColdWorkerGetsNoMoreThanThisDispatchersPart() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL)),
                                List.of(),
                                4,
                                false));
        host.list(EndpointListForm.CACHED, in(WorkerState.READY, 1, host.nowUs));
        // Jobs are taken to run 0.4 s; cold, it does 0.2 to 0.25 s of work a second in the first
        // second.
        for (int id = 0; id < 100; id++) {
            host.request(id, 0);
            host.pass(SECOND / 100);
        }
        assertThat(host.sends.size() * 0.4).isLessThanOrEqualTo(0.25 * 3 / 4);
    }

    /**
     * join+mass: nodes took a kind for eight times as slow as it was, as jobs were late behind
     * others', and gave its cold workers an eighth of their part while six in ten workers were
     * cold.
     */
    @Test
    void jobsLateBehindOthersTakeNothingFromAColdWorkersPart() {
        final int[] sends = new int[2];
        for (int late = 0; late < 2; late++) {
            final RecordingActions host =
                    new RecordingActions(
                            settings(List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL))));
            host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
            for (int id = 0; id < 30; id++) {
                host.request(id, 0);
                final int worker = host.lastSend().worker();
                host.pass(late == 0 ? 1 : 2 * SECOND);
                host.module.jobProgressed(host.nowUs, id, 0, worker, 0);
                host.pass(4 * SECOND / 10);
                host.module.attemptEnded(
                        host.nowUs,
                        id,
                        0,
                        worker,
                        Outcome.SERVED,
                        host.nowUs,
                        true,
                        new LoadReport(2, -1, 0));
            }
            host.list(EndpointListForm.FULL, in(WorkerState.READY, 3, host.nowUs));
            host.sends.clear();
            for (int id = 100; id < 1000; id++) {
                host.request(id, 0);
                host.pass(SECOND / 100);
            }
            sends[late] = host.sends.size();
        }
        assertThat(sends[1]).isGreaterThan(sends[0] * 3 / 4);
    }

    @Test
    void aWorkerRestsAfterAFailedConnection() {
        final RecordingActions host =
                with(Idempotency.SAFE, DeduplicationScope.ALL)
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 0),
                                worker(4, 0, 0),
                                worker(5, 0, 0),
                                worker(6, 0, 0));
        host.request(1, 0);
        final int broken = host.lastSend().worker();
        host.end(1, 0, broken, Outcome.CONNECT_FAILED);
        for (int id = 2; id < 30; id++) {
            host.request(id, 0);
        }
        assertThat(host.sends.subList(1, host.sends.size()))
                .extracting(RecordingActions.Send::worker)
                .doesNotContain(broken);
    }

    /** Where all workers fail alike, none of them is the culprit and work goes on. */
    @Test
    void faultOfAllAlikeRestsNobody() {
        final RecordingActions host =
                with(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
        for (int id = 0; id < 8; id++) {
            host.request(id, 0);
            host.end(id, 0, host.lastSend().worker(), Outcome.BROKEN);
        }
        assertThat(host.sends).hasSize(8);
    }

    // ---- budget and fill ----

    /** Two classes of equal work and unlike worth, 100 requests a second. */
    private static RecordingActions twoClasses() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(
                                        job(10, Idempotency.UNSAFE, DeduplicationScope.ALL),
                                        job(1, Idempotency.UNSAFE, DeduplicationScope.ALL))));
        return host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1));
    }

    /** Of every ten requests' time, seven sends are served; those beyond end as told. */
    private static void offer(RecordingActions host, int fromId, int toId, Outcome beyond) {
        int served = 0;
        for (int id = fromId; id < toId; id++) {
            served = id % 10 == 0 ? 0 : served;
            final int before = host.sends.size();
            host.request(id, id % 2);
            if (host.sends.size() > before) {
                host.end(id, 0, host.lastSend().worker(), served++ < 7 ? Outcome.SERVED : beyond);
            }
            host.pass(SECOND / 100);
        }
    }

    private static RecordingActions underFault(Outcome beyond) {
        final RecordingActions host = twoClasses();
        offer(host, 0, 2000, beyond);
        return host;
    }

    private static long refusedOfClass(RecordingActions host, int requestClass, int fromId) {
        final Set<Integer> sent =
                host.sends.stream().map(RecordingActions.Send::request).collect(Collectors.toSet());
        return host.refused.stream()
                .filter(id -> id >= fromId && id % 2 == requestClass && !sent.contains(id))
                .count();
    }

    @Test
    void nothingIsRefusedUnsentBeforeASignOfOverload() {
        assertThat(underFault(Outcome.SERVED).refused).isEmpty();
    }

    @Test
    void overloadShedsTheLowestPriorityWeightPerWorkUnsent() {
        final RecordingActions host = underFault(Outcome.TIMED_OUT);
        assertThat(refusedOfClass(host, 1, 1000)).isGreaterThan(100);
        assertThat(refusedOfClass(host, 0, 1000)).isZero();
    }

    /** Incident i8149be: errors of single workers are no overload. */
    @Test
    void errorsDoNotNarrowTheBudget() {
        final RecordingActions host = underFault(Outcome.ERROR);
        assertThat(refusedOfClass(host, 1, 1000)).isZero();
    }

    /**
     * A wave of bad endings must not close a dispatcher for long: it reopens while work finishes in
     * time.
     */
    @Test
    void aBudgetReopensAfterAWave() {
        final RecordingActions host = underFault(Outcome.TIMED_OUT);
        assertThat(refusedOfClass(host, 1, 1900)).isGreaterThan(5);
        offer(host, 2000, 3000, Outcome.SERVED);
        assertThat(refusedOfClass(host, 1, 2900)).isZero();
    }

    /**
     * A retry that comes after the latency objective of its first try is worth nothing and must
     * cost no work.
     */
    @Test
    void aRetryWhoseLatencyObjectiveHasPassedIsRefusedUnsent() {
        final RecordingActions host = twoSafeWorkers();
        host.request(1, 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        host.module.requestArrived(
                host.nowUs, 2, new Job(0, 0, 1, 0, 0, true), host.nowUs + 2 * SECOND);
        assertThat(host.sends).hasSize(1);
        assertThat(host.refused).containsExactly(2);
    }

    /**
     * join+mass: unmarked clients with a quarter of the usual time were taken for retries of long
     * ago, and one short request in four was refused at its arrival. Retries as advised come after
     * 0.4 s at the most there, and a request may be in time for 1 s.
     */
    @ParameterizedTest(name = "{0} ms of the time are missing, marked: {1}")
    @CsvSource({
        "0, false, 2",
        "900, false, 2",
        "1200, false, 1",
        "1500, false, 2",
        "4000, false, 2",
        "1200, true, 1",
        "4000, true, 1"
    })
    void aClientThatGivesUpEarlyIsNoRetry(long missingMs, boolean marked, int sends) {
        final RecordingActions host =
                new RecordingActions(
                                RecordingActions.advising(
                                        List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL))))
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.request(1, 0);
        host.module.requestArrived(
                host.nowUs,
                2,
                new Job(0, 0, 1, 0, 0, marked),
                host.nowUs + 5 * SECOND - missingMs * 1000);
        assertThat(host.sends).hasSize(sends);
    }

    /**
     * join+mass: clients that gave up after half a second had their time-outs taken for work that
     * came too late; the budget closed on them, and two classes were refused nine times in ten by
     * idle workers' nodes.
     */
    @ParameterizedTest(name = "given up after {0} ms, of 1000 in which it is in time")
    @CsvSource({"300, true", "1500, false"})
    void aTimeOutInTimeIsNoSignOfOverload(long waitMs, boolean keptOpen) {
        final RecordingActions host =
                new RecordingActions(
                                RecordingActions.advising(
                                        List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL))))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 0));
        int refused = 0;
        for (int id = 0; id < 400; id++) {
            final int before = host.sends.size();
            host.module.requestArrived(
                    host.nowUs,
                    id,
                    new Job(0, 0, 1, 0, 0, false),
                    host.nowUs + (id % 2 == 0 ? 5 * SECOND : waitMs * 1000));
            if (host.sends.size() > before && id % 2 == 1) {
                final int worker = host.lastSend().worker();
                host.pass(waitMs * 1000);
                host.module.attemptEnded(
                        host.nowUs,
                        id,
                        0,
                        worker,
                        Outcome.TIMED_OUT,
                        waitMs * 1000,
                        false,
                        LoadReport.NONE);
            } else if (host.sends.size() > before) {
                host.module.jobProgressed(host.nowUs, id, 0, host.lastSend().worker(), 0);
                host.pass(SECOND / 10);
                host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
            } else if (id % 2 == 0) {
                refused++;
            }
        }
        assertThat(refused == 0).as("%d refused", refused).isEqualTo(keptOpen);
    }

    /**
     * zone+mass: start and end read in one turn told of a running time of 0, and the class had no
     * time.
     */
    @Test
    void aStartReadWithItsEndTellsOfNoRunningTime() {
        final RecordingActions host = twoSafeWorkers();
        host.request(1, 0);
        host.pass(SECOND / 10);
        host.module.jobProgressed(host.nowUs, 1, 0, host.lastSend().worker(), 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        // 0.1 s of running and a latency objective of 0.2 s: it may wait for 0.3 s of the 0.4 s and
        // is not refused there.
        host.module.requestArrived(
                host.nowUs, 2, new Job(0, 0, 1, 0, 0, true), host.nowUs + 4_700_000);
        assertThat(host.sends).hasSize(2);
    }

    @Test
    void trafficBeyondATenantsShareGoesFirst() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(job(1, Idempotency.UNSAFE, DeduplicationScope.ALL)),
                                List.of(new Tenant("a", 10), new Tenant("b", 1000)),
                                1,
                                false));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        int served = 0;
        int overServed = 0;
        int withinServed = 0;
        for (int id = 0; id < 2000; id++) {
            served = id % 10 == 0 ? 0 : served;
            final int before = host.sends.size();
            host.request(id, new Job(0, id % 2, 1, 0, 0, false));
            if (host.sends.size() > before) {
                host.end(
                        id,
                        0,
                        host.lastSend().worker(),
                        served++ < 7 ? Outcome.SERVED : Outcome.TIMED_OUT);
                overServed += id >= 1000 && id % 2 == 0 ? 1 : 0;
                withinServed += id >= 1000 && id % 2 == 1 ? 1 : 0;
            }
            host.pass(SECOND / 100);
        }
        assertThat(withinServed).isGreaterThan(overServed * 2);
    }

    // ---- pick ----

    @Test
    void theFasterAndEmptierWorkerGetsMore() {
        final RecordingActions host =
                with(Idempotency.SAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        int fast = 0;
        for (int id = 0; id < 600; id++) {
            host.request(id, 0);
            final int worker = host.lastSend().worker();
            host.module.jobProgressed(host.nowUs, id, 0, worker, 0);
            host.pass(worker == 1 ? SECOND / 20 : SECOND / 5);
            host.end(id, 0, worker, Outcome.SERVED);
            fast += id >= 300 && worker == 1 ? 1 : 0;
        }
        assertThat(fast).isGreaterThan(180);
    }

    /**
     * A worker that takes jobs and starts none loses its draws by their lateness, before any ends.
     */
    @Test
    void aSilentWorkerIsAvoidedByWhatIsLateThere() {
        final RecordingActions host =
                with(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(2, 0, 0));
        for (int id = 10; id < 90; id++) {
            host.request(id, 0);
            host.module.jobProgressed(host.nowUs, id, 0, 2, 0);
            host.pass(SECOND / 5);
            host.end(id, 0, 2, Outcome.SERVED);
        }
        host.list(EndpointListForm.FULL, worker(1, 0, 0));
        for (int id = 0; id < 6; id++) {
            host.request(id, 0);
        }
        host.pass(2 * SECOND);
        for (int id = 0; id < 6; id++) {
            host.end(id, 0, 1, Outcome.CANCELLED);
        }
        host.list(EndpointListForm.CHANGES, worker(2, 0, 0));
        host.sends.clear();
        for (int id = 100; id < 3000; id++) {
            final int before = host.sends.size();
            host.request(id, 0);
            if (host.sends.size() > before) {
                host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
            }
        }
        // Both draws fall on the same worker a quarter of the time.
        assertThat(host.sends.stream().filter(send -> send.worker() == 1).count() * 3)
                .isLessThan(host.sends.size());
    }

    /**
     * Incident i6c06e6, 205 dispatchers: each saw one ending a second, and lumps kept budgets open.
     */
    @Test
    void aDispatcherThatSeesFewEndingsStillLearns() {
        final RecordingActions host = twoClasses();
        for (int id = 0; id < 400; id++) {
            final int before = host.sends.size();
            host.request(id, id / 2 % 2);
            if (host.sends.size() > before) {
                final Outcome outcome = id % 2 == 0 ? Outcome.SERVED : Outcome.TIMED_OUT;
                host.end(id, 0, host.lastSend().worker(), outcome);
            }
            host.pass(id % 4 == 0 ? SECOND * 27 / 10 : SECOND * 27 / 100);
        }
        // Half of them end badly: what does not fit is refused to the floor, not let in with each
        // lump.
        assertThat(host.refused).filteredOn(id -> id >= 200).hasSizeGreaterThan(150);
    }

    // ---- data keys and hints ----

    private static List<Integer> sentFor(long dataKey, RecordingActions host) {
        host.sends.clear();
        for (int id = 0; id < 20; id++) {
            final int request = host.log.size() + 1000;
            host.request(request, new Job(0, 0, 1, 0, dataKey, false));
            host.end(request, 0, host.lastSend().worker(), Outcome.SERVED);
        }
        return host.sends.stream().map(RecordingActions.Send::worker).distinct().toList();
    }

    /**
     * sabah-food-boxes: spread over all workers, a job's data was fetched anew nearly each time.
     */
    @Test
    void jobsOfOneDataKeyGoToOneWorkerWhicheverDispatcherSendsThem() {
        final RecordingActions one = with(Idempotency.SAFE, DeduplicationScope.ALL);
        final RecordingActions other = with(Idempotency.SAFE, DeduplicationScope.ALL);
        final Worker[] workers =
                IntStream.range(0, 12).mapToObj(id -> worker(id, 0, 0)).toArray(Worker[]::new);
        one.list(EndpointListForm.CACHED, workers);
        other.request(999, 0);
        other.list(EndpointListForm.CACHED, workers);
        final Set<Integer> homes = new HashSet<>();
        for (long key = 1; key <= 40; key++) {
            assertThat(sentFor(key, one)).hasSize(1).isEqualTo(sentFor(key, other));
            homes.add(one.lastSend().worker());
        }
        assertThat(homes).hasSizeGreaterThan(8);
    }

    private static RecordingActions threeSafeWorkers() {
        return with(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
    }

    /** The key's home, after it has rejected a job of that key. */
    private static int fullHomeOf(long dataKey, RecordingActions host) {
        final int home = sentFor(dataKey, host).get(0);
        host.request(1, new Job(0, 0, 1, 0, dataKey, false));
        host.end(1, 0, home, Outcome.FULL);
        return home;
    }

    @Test
    void aKeysHomeThatIsFullOrGoneHasASuccessor() {
        final RecordingActions host = threeSafeWorkers();
        final int home = fullHomeOf(5, host);
        final int next = host.lastSend().worker();
        assertThat(next).isNotEqualTo(home);
        host.list(EndpointListForm.CHANGES, in(WorkerState.GONE, home, 0));
        assertThat(sentFor(5, host)).containsExactly(next);
    }

    /**
     * sabah-food-boxes: the home of a key in demand got half of all sends, nearly all answered
     * 'full'.
     */
    @Test
    void aFullWorkerIsLeftAloneForAboutAJob() {
        final RecordingActions host = threeSafeWorkers();
        final int home = fullHomeOf(5, host);
        assertThat(sentFor(5, host)).doesNotContain(home);
        host.pass(SECOND);
        assertThat(sentFor(5, host)).containsExactly(home);
    }

    /**
     * shah-alam-hub: worth counts by work there, and the long class of worth 5 was shed before
     * worth 1.
     */
    @Test
    void wherePriorityWeightCountsByWorkALongJobOfAWorthyClassIsNotShedFirst() {
        final RecordingActions host =
                new RecordingActions(
                        RecordingActions.byWork(
                                List.of(
                                        job(5, Idempotency.UNSAFE, DeduplicationScope.ALL),
                                        job(1, Idempotency.UNSAFE, DeduplicationScope.ALL))));
        host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1));
        for (int id = 0; id < 2000; id++) {
            final int before = host.sends.size();
            host.request(id, new Job(id % 2, 0, 1, id % 2 == 0 ? 1_600_000 : 200_000, 0, false));
            if (host.sends.size() > before) {
                final Outcome outcome = id % 10 < 7 ? Outcome.SERVED : Outcome.TIMED_OUT;
                host.end(id, 0, host.lastSend().worker(), outcome);
            }
            host.pass(SECOND / 100);
        }
        assertThat(refusedOfClass(host, 1, 1000)).isGreaterThan(refusedOfClass(host, 0, 1000));
    }

    /**
     * sabah-food-boxes: at a request in two seconds, chance alone brings three in a moment now and
     * then.
     */
    @Test
    void aRareTenantsChanceBunchIsWithinItsShare() {
        final QuotaMeter meter = new QuotaMeter(0.5 / 1e6);
        meter.take(60 * SECOND, 0);
        for (int i = 0; i < 3; i++) {
            assertThat(meter.take(60 * SECOND, 1)).isTrue();
        }
        assertThat(meter.take(60 * SECOND, 1)).isFalse();
    }

    // ---- silence of one class ----

    /**
     * shah-alam-hub: half of the workers left one class unanswered; 150 dispatchers found out one
     * by one.
     */
    @Test
    void aClassThatDoesNotStartAtAFreeWorkerIsToldAndAvoidedThere() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(
                                        job(1, Idempotency.SAFE, DeduplicationScope.ALL),
                                        job(1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        final LoadReport free = new LoadReport(6, -1, -1);
        host.module.attemptEnded(host.nowUs, 1, 0, 1, Outcome.SERVED, 100_000, true, free);
        host.request(2, 0);
        host.pass(SECOND * 3);
        assertThat(host.told).containsExactly(1);
        host.list(EndpointListForm.CHANGES, worker(2, 0, 0));
        host.module.workerReportedUnresponsive(host.nowUs, 77, 0);
        host.module.workerReportedUnresponsive(host.nowUs, 1, 99);
        host.sends.clear();
        for (int id = 10; id < 30; id++) {
            host.request(id, 0);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
        assertThat(host.sends).extracting(RecordingActions.Send::worker).containsOnly(2);
    }

    @Test
    void whatAnotherDispatcherToldHoldsForItsClassAndForATime() {
        final RecordingActions host =
                new RecordingActions(
                        settings(
                                List.of(
                                        job(1, Idempotency.SAFE, DeduplicationScope.ALL),
                                        job(1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.module.workerReportedUnresponsive(host.nowUs, 1, 0);
        assertThat(workersOf(0, host)).containsOnly(2);
        assertThat(workersOf(1, host)).contains(1);
        host.pass(5 * SECOND);
        assertThat(workersOf(0, host)).contains(1);
    }

    private static Set<Integer> workersOf(int requestClass, RecordingActions host) {
        final int before = host.sends.size();
        for (int i = 0; i < 20; i++) {
            final int id = 100 + host.sends.size();
            host.request(id, requestClass);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
        return host.sends.stream()
                .skip(before)
                .map(RecordingActions.Send::worker)
                .collect(Collectors.toSet());
    }

    // ---- probes ----

    private static RecordingActions probing() {
        return new RecordingActions(
                        RecordingActions.probing(
                                List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL))))
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
    }

    /**
     * penang-kits, shah-alam-hub: a dispatcher met each worker every ten seconds and knew nothing
     * of now.
     */
    @Test
    void whereReportsAreOldTheDrawnWorkersAreAskedFirst() {
        final RecordingActions host = probing();
        for (int id = 0; id < 20; id++) {
            host.pass(5 * SECOND);
            host.probed.clear();
            host.request(id, 0);
            assertThat(host.probed).containsExactlyInAnyOrder(1, 2);
            assertThat(host.sends).hasSize(id);
            host.module.loadReported(
                    host.nowUs, 1, Outcome.SERVED, new LoadReport(id % 2 * 4, 4 - id % 2 * 4, -1));
            host.module.loadReported(
                    host.nowUs, 2, Outcome.SERVED, new LoadReport(4 - id % 2 * 4, id % 2 * 4, -1));
            assertThat(host.lastSend().worker()).isEqualTo(2 - id % 2);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    /**
     * What is chosen is chosen on what holds when it is sent: not on what held when workers were
     * asked.
     */
    @ParameterizedTest
    @ValueSource(strings = {"left", "drained", "both"})
    void aRequestHeldForAProbeIsSentByWhatHoldsWhenItIsSent(String what) {
        final RecordingActions host = probing();
        host.pass(5 * SECOND);
        host.probed.clear();
        host.request(1, 0);
        assertThat(host.probed).containsExactlyInAnyOrder(1, 2);
        if (!what.equals("drained")) {
            host.module.clientLeft(host.nowUs, 1);
        }
        if (!what.equals("left")) {
            host.list(EndpointListForm.CHANGES, new Worker(1, 0, 0, 0, WorkerState.DRAINING, 1, 0));
        }
        host.module.loadReported(host.nowUs, 1, Outcome.SERVED, new LoadReport(4, -1, 0));
        host.module.loadReported(host.nowUs, 2, Outcome.SERVED, new LoadReport(0, -1, 9));
        host.pass(SECOND);
        assertThat(host.sends)
                .extracting(RecordingActions.Send::worker)
                .isEqualTo(what.equals("drained") ? List.of(2) : List.of());
    }

    /**
     * What was taken back before its first byte tells nothing of any worker, and is chosen for
     * anew.
     */
    @ParameterizedTest
    @EnumSource
    void aSendThatWasTakenBackIsMadeElsewhereAndNarrowsNothing(Idempotency effect) {
        final RecordingActions host = with(effect, DeduplicationScope.ALL);
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        for (int id = 1; id <= 200; id++) {
            host.request(id, 0);
            host.end(id, 0, host.lastSend().worker(), Outcome.NOT_SENT);
            assertThat(host.lastSend().request()).isEqualTo(id);
            host.end(id, 1, host.lastSend().worker(), Outcome.SERVED);
            host.pass(SECOND / 50);
        }
        assertThat(host.sends).hasSize(400);
        assertThat(host.refused).isEmpty();
        assertThat(host.failed).isEmpty();
    }

    /** nairobi-noms: reports tell free slots and a queue, and every full worker looked alike. */
    @Test
    void ofTwoFullWorkersTheOneWithTheShorterQueueGetsTheJob() {
        final RecordingActions host = probing();
        for (int id = 0; id < 20; id++) {
            host.pass(5 * SECOND);
            host.request(id, 0);
            host.module.loadReported(
                    host.nowUs, 1, Outcome.SERVED, new LoadReport(0, -1, id % 2 * 6));
            host.module.loadReported(
                    host.nowUs, 2, Outcome.SERVED, new LoadReport(0, -1, 6 - id % 2 * 6));
            assertThat(host.lastSend().worker()).isEqualTo(1 + id % 2);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    @Test
    void threeAreAskedWhereNewsIsOldAndNoneWhereItIsFresh() {
        final RecordingActions host =
                new RecordingActions(
                        RecordingActions.probing(
                                List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
        host.pass(10 * SECOND);
        host.request(1, 0);
        assertThat(host.probed).containsExactlyInAnyOrder(1, 2, 3);
        for (int worker = 1; worker <= 3; worker++) {
            host.module.loadReported(host.nowUs, worker, Outcome.SERVED, new LoadReport(4, -1, -1));
        }
        host.probed.clear();
        host.request(2, 0);
        assertThat(host.probed).isEmpty();
        assertThat(host.sends).hasSize(2);
    }

    /**
     * nairobi-noms, zone+vast: 14 dispatchers trusted reports for 23 s; 30 in 100 unprobed sends
     * met a full worker, 12 in 100 probed ones. Each of the others sends as much again, so news
     * ages that much faster.
     */
    @ParameterizedTest(name = "{0} dispatchers, a report {1} ms old: asked anew {2}")
    @CsvSource({"1, 1000, false", "14, 1000, true", "14, 100, false"})
    void aReportIsOldNewsSoonerTheMoreDispatchersSend(int dispatchers, long ageMs, boolean asked) {
        final RecordingActions host =
                new RecordingActions(
                        RecordingActions.probing(
                                List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL)),
                                dispatchers));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.pass(10 * SECOND);
        host.request(1, 0);
        host.module.loadReported(host.nowUs, 1, Outcome.SERVED, new LoadReport(4, -1, -1));
        host.module.loadReported(host.nowUs, 2, Outcome.SERVED, new LoadReport(4, -1, -1));
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        host.pass(ageMs * 1000);
        host.probed.clear();
        host.request(2, 0);
        assertThat(host.probed.isEmpty()).isEqualTo(!asked);
        assertThat(host.sends).hasSize(asked ? 1 : 2);
    }

    @Test
    void aWorkerThatDoesNotAnswerIsNotWaitedFor() {
        final RecordingActions host = probing();
        host.pass(5 * SECOND);
        host.request(1, 0);
        host.module.loadReported(host.nowUs, 2, Outcome.SERVED, LoadReport.NONE);
        host.pass(SECOND / 10);
        assertThat(host.sends).containsExactly(new RecordingActions.Send(1, 2));
        host.module.loadReported(host.nowUs, 1, Outcome.TIMED_OUT, LoadReport.NONE);
        assertThat(host.sends).hasSize(1);
    }

    /**
     * lab capacity, 1,400 workers on a busy machine: where no worker answered in time each request
     * asked three more at once, for as long as it waited, until no connection was left.
     */
    @Test
    void unansweredProbesAreNotRepeatedWithoutBound() {
        final RecordingActions host =
                new RecordingActions(
                                RecordingActions.probing(
                                        List.of(job(1, Idempotency.SAFE, DeduplicationScope.ALL))))
                        .list(
                                EndpointListForm.CACHED,
                                IntStream.rangeClosed(1, 40)
                                        .mapToObj(id -> worker(id, 0, 0))
                                        .toArray(Worker[]::new));
        host.pass(60 * SECOND);
        host.request(1, 0);
        int asked = 0;
        while (!host.probed.isEmpty() && asked <= 40) {
            final List<Integer> round = List.copyOf(host.probed);
            host.probed.clear();
            asked += round.size();
            round.forEach(
                    id ->
                            host.module.loadReported(
                                    host.nowUs, id, Outcome.TIMED_OUT, LoadReport.NONE));
        }
        assertThat(asked).as("probes of one request").isEqualTo(6);
        assertThat(host.sends).hasSize(1);
    }

    /** A late answer to a probe must not steer a keyed request out of its group. */
    @Test
    void anAnswerToAnEarlierProbeIsForgottenOnceTheRequestIsOut() {
        final RecordingActions host =
                new RecordingActions(
                        RecordingActions.probing(
                                List.of(job(1, Idempotency.KEYED, DeduplicationScope.CELL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).pass(5 * SECOND);
        host.request(1, 0);
        host.module.loadReported(host.nowUs, 2, Outcome.SERVED, LoadReport.NONE);
        host.pass(SECOND / 10);
        host.module.loadReported(host.nowUs, 1, Outcome.SERVED, LoadReport.NONE);
        host.end(1, 0, 2, Outcome.BROKEN);
        host.pass(SECOND);
        assertThat(host.sends).containsOnly(new RecordingActions.Send(1, 2));
    }

    /**
     * shah-alam-hub, quiet: a tenth was refused for late jobs though half of the slots were free.
     */
    @Test
    void badEndingsDoNotNarrowWhileReportsTellOfFreeSlots() {
        final RecordingActions host = twoClasses();
        for (int id = 0; id < 2000; id++) {
            final int before = host.sends.size();
            host.request(id, id % 2);
            if (host.sends.size() > before) {
                final int worker = host.lastSend().worker();
                final Outcome outcome = id % 5 == 0 ? Outcome.TIMED_OUT : Outcome.SERVED;
                host.module.attemptEnded(
                        host.nowUs,
                        id,
                        0,
                        worker,
                        outcome,
                        100_000,
                        id % 5 != 0,
                        new LoadReport(id % 4 == 0 ? 8 : 5, 3, -1));
            }
            host.pass(SECOND / 100);
        }
        assertThat(refusedOfClass(host, 1, 0)).isLessThan(20);
    }

    // ---- the instance itself ----

    @Test
    void theSameEventsGiveTheSameActions() {
        assertThat(underFault(Outcome.FULL).log).isEqualTo(underFault(Outcome.FULL).log);
    }

    @Test
    void contradictorySettingsAreRefusedByName() {
        assertThatThrownBy(() -> settings(List.of())).hasMessageContaining("classes");
        assertThatThrownBy(() -> new Tenant("a", -1)).hasMessageContaining("quotaPerS");
        assertThatThrownBy(
                        () ->
                                new RequestClass(
                                        1,
                                        0,
                                        2,
                                        5,
                                        Idempotency.SAFE,
                                        DeduplicationScope.ALL,
                                        0,
                                        Placement.ANYWHERE))
                .hasMessageContaining("aimUs");
    }
}
