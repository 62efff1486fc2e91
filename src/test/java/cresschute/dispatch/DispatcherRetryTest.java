package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestHosts.hostOfClass;
import static cresschute.dispatch.TestHosts.twoSafeWorkers;
import static cresschute.dispatch.TestSettings.placedClass;
import static cresschute.dispatch.TestSettings.requestClass;
import static cresschute.dispatch.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks which requests are retried, at which workers and how often. */
class DispatcherRetryTest {

    private static final Placement WEST = new Placement(List.of(1), null);

    @ParameterizedTest
    @EnumSource(names = {"FULL", "CONNECT_FAILED", "NOT_SENT"})
    void retriesAtAnotherWorkerIfNothingRan(Outcome outcome) {
        for (final Idempotency idempotency : Idempotency.values()) {
            final RecordingHost host =
                    hostOfClass(idempotency, DeduplicationScope.CELL)
                            .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
            host.request(1, 0);
            final int first = host.lastSend().worker();
            host.end(1, 0, first, outcome);
            host.advanceTime(SECOND / 2);
            assertThat(host.sends).hasSize(2);
            assertThat(host.lastSend().worker()).isNotEqualTo(first);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ERROR", "TIMED_OUT", "BROKEN", "CANCELLED"})
    void failsUnsafeRequestThatMayHaveRun(Outcome outcome) {
        final RecordingHost host =
                hostOfClass(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
        host.request(1, 0);
        host.end(1, 0, host.lastSend().worker(), outcome);
        host.advanceTime(5 * SECOND);
        assertThat(host.log).hasSize(2).last().isEqualTo("fail 1");
    }

    @ParameterizedTest
    @EnumSource(names = {"CELL", "ZONE"})
    void keepsKeyedRequestInItsDeduplicationGroup(DeduplicationScope scope) {
        final RecordingHost host = hostOfClass(Idempotency.KEYED, scope);
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
            host.advanceTime(SECOND / 10);
            final int second = host.lastSend().worker();
            assertThat(host.lastSend().request()).isEqualTo(id);
            assertThat((second - 1) / 2).isEqualTo((first - 1) / 2);
            host.end(id, 1, second, Outcome.SERVED);
        }
    }

    @Test
    void doesNotRetryKeyedRequestAfterDeduplicationWindow() {
        final RequestClass shortWindowClass =
                new RequestClass(
                        1,
                        4 * SECOND,
                        2,
                        5 * SECOND,
                        Idempotency.KEYED,
                        DeduplicationScope.ALL,
                        SECOND,
                        Placement.ANYWHERE);
        final RecordingHost host = new RecordingHost(settings(List.of(shortWindowClass)));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).request(1, 0);
        host.advanceTime(SECOND + 1);
        host.end(1, 0, host.lastSend().worker(), Outcome.BROKEN);
        host.advanceTime(SECOND);
        assertThat(host.sends).hasSize(1);
        assertThat(host.failed).containsExactly(1);
    }

    @Test
    void staysWithinAttemptLimit() {
        final RecordingHost host = twoSafeWorkers();
        host.request(1, 0);
        for (int attempt = 0; attempt < 8; attempt++) {
            host.end(1, attempt, host.lastSend().worker(), Outcome.FULL);
        }
        assertThat(host.sends).hasSize(4);
        assertThat(host.rejected).containsExactly(1);
    }

    /** The lower limit applies to retries and to hedged requests. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "4, 4", "9, 4"})
    void staysWithinLowerLimitOfClassAndSettings(int ofClass, int sent) {
        final RequestClass limitedClass =
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
        final RecordingHost host =
                new RecordingHost(settings(List.of(limitedClass)))
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
        host.request(1, 0);
        for (int attempt = 0; attempt < 8; attempt++) {
            host.end(1, attempt, host.lastSend().worker(), Outcome.FULL);
        }
        assertThat(host.sends).hasSize(sent);
        assertThat(host.rejected).containsExactly(1);
        final RecordingHost hedging =
                new RecordingHost(TestSettings.hedging(List.of(limitedClass)))
                        .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
        hedging.request(1, 0);
        hedging.dispatcher.jobProgressed(hedging.nowUs, 1, 0, hedging.lastSend().worker(), 0);
        hedging.advanceTime(SECOND * 5 / 2);
        assertThat(hedging.sends).hasSize(Math.min(2, ofClass));
    }

    /**
     * A rejection promises that a retry does no harm. That is true only within the window, in which
     * all workers drop a duplicate.
     */
    @Test
    void rejectsKeyedRequestOnlyWithinWindowIfAllWorkersDropDuplicate() {
        final RecordingHost host = hostOfClass(Idempotency.KEYED, DeduplicationScope.ALL);
        host.list(EndpointListForm.CACHED, worker(1, 0, 0)).request(1, 0);
        host.advanceTime(2 * SECOND);
        host.end(1, 0, 1, Outcome.BROKEN);
        host.request(2, 0);
        host.advanceTime(4 * SECOND);
        host.end(2, 0, 1, Outcome.BROKEN);
        assertThat(host.rejected).containsExactly(1);
        assertThat(host.failed).containsExactly(2);
    }

    @Test
    void retriesWithinDeduplicationGroupAndPlacement() {
        final RecordingHost host =
                new RecordingHost(
                        settings(
                                List.of(
                                        placedClass(
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
            host.advanceTime(SECOND / 10);
            assertThat(host.lastSend().request()).isEqualTo(id);
            assertThat(Set.of(first, host.lastSend().worker())).isIn(Set.of(3, 4), Set.of(5, 6));
            host.end(id, 1, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    @Test
    void failsAnUnsafeRequestAfterFullWhereFullMayHaveRun() {
        final RecordingHost host =
                new RecordingHost(
                        new TestSettings(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.UNSAFE,
                                                        DeduplicationScope.ALL)))
                                .fullMayHaveRun()
                                .build());
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).request(1, 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.FULL);
        assertThat(host.log).hasSize(2).last().isEqualTo("fail 1");
    }

    @Test
    void keepsKeyedRequestInGroupIfFullMayHaveRun() {
        final RecordingHost host =
                new RecordingHost(
                        new TestSettings(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.KEYED,
                                                        DeduplicationScope.CELL)))
                                .fullMayHaveRun()
                                .build());
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
            host.advanceTime(SECOND / 10);
            assertThat(Set.of(first, host.lastSend().worker())).isIn(Set.of(1, 2), Set.of(3, 4));
            host.end(id, 1, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    /**
     * An attempt that was not sent is no evidence about its worker, and a worker is selected again.
     */
    @ParameterizedTest
    @EnumSource
    void retriesAttemptNotSentAndKeepsBudget(Idempotency idempotency) {
        final RecordingHost host = hostOfClass(idempotency, DeduplicationScope.ALL);
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        for (int id = 1; id <= 200; id++) {
            host.request(id, 0);
            host.end(id, 0, host.lastSend().worker(), Outcome.NOT_SENT);
            assertThat(host.lastSend().request()).isEqualTo(id);
            host.end(id, 1, host.lastSend().worker(), Outcome.SERVED);
            host.advanceTime(SECOND / 50);
        }
        assertThat(host.sends).hasSize(400);
        assertThat(host.rejected).isEmpty();
        assertThat(host.failed).isEmpty();
    }
}
