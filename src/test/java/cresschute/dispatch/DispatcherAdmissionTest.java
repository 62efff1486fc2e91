package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestHosts.offer;
import static cresschute.dispatch.TestHosts.twoClasses;
import static cresschute.dispatch.TestHosts.underLoad;
import static cresschute.dispatch.TestSettings.requestClass;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks what is shed under overload, and what does not count as overload. */
class DispatcherAdmissionTest {

    private static long rejectedUnsent(RecordingHost host, int requestClass, int fromId) {
        final Set<Integer> sent =
                host.sends.stream().map(RecordingHost.Send::request).collect(Collectors.toSet());
        return host.rejected.stream()
                .filter(id -> id >= fromId && id % 2 == requestClass && !sent.contains(id))
                .count();
    }

    @Test
    void shedsNothingBeforeFirstOverload() {
        assertThat(underLoad(Outcome.SERVED).rejected).isEmpty();
    }

    @Test
    void shedsLowestPriorityWeightPerWorkUnderOverload() {
        final RecordingHost host = underLoad(Outcome.TIMED_OUT);
        assertThat(rejectedUnsent(host, 1, 1000)).isGreaterThan(100);
        assertThat(rejectedUnsent(host, 0, 1000)).isZero();
    }

    @Test
    void keepsBudgetIfAttemptsEndInErrors() {
        final RecordingHost host = underLoad(Outcome.ERROR);
        assertThat(rejectedUnsent(host, 1, 1000)).isZero();
    }

    @Test
    void raisesBudgetAgainAfterTimeoutsEnd() {
        final RecordingHost host = underLoad(Outcome.TIMED_OUT);
        assertThat(rejectedUnsent(host, 1, 1900)).isGreaterThan(5);
        offer(host, 2000, 3000, Outcome.SERVED);
        assertThat(rejectedUnsent(host, 1, 2900)).isZero();
    }

    @ParameterizedTest(name = "client gives up after {0} ms, an answer is in time for 1000 ms")
    @CsvSource({"300, true", "1500, false"})
    void decreasesBudgetOnlyIfClientsGiveUpAfterAnswerIsLate(long waitMs, boolean keptOpen) {
        final RecordingHost host =
                new RecordingHost(
                                TestSettings.advisingRetries(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.SAFE,
                                                        DeduplicationScope.ALL))))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 0));
        int rejected = 0;
        for (int id = 0; id < 400; id++) {
            final int before = host.sends.size();
            host.dispatcher.requestArrived(
                    host.nowUs,
                    id,
                    new Job(0, 0, 1, 0, 0, false),
                    host.nowUs + (id % 2 == 0 ? 5 * SECOND : waitMs * 1000));
            if (host.sends.size() > before && id % 2 == 1) {
                final int worker = host.lastSend().worker();
                host.advanceTime(waitMs * 1000);
                host.dispatcher.attemptEnded(
                        host.nowUs,
                        id,
                        0,
                        worker,
                        Outcome.TIMED_OUT,
                        waitMs * 1000,
                        false,
                        LoadReport.NONE);
            } else if (host.sends.size() > before) {
                host.dispatcher.jobProgressed(host.nowUs, id, 0, host.lastSend().worker(), 0);
                host.advanceTime(SECOND / 10);
                host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
            } else if (id % 2 == 0) {
                rejected++;
            }
        }
        assertThat(rejected == 0).as("%d rejected", rejected).isEqualTo(keptOpen);
    }

    @Test
    void shedsTrafficBeyondTenantQuotaFirst() {
        final RecordingHost host =
                new RecordingHost(
                        new TestSettings(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.UNSAFE,
                                                        DeduplicationScope.ALL)))
                                .tenants(new Tenant("a", 10), new Tenant("b", 1000))
                                .build());
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
            host.advanceTime(SECOND / 100);
        }
        assertThat(withinServed).isGreaterThan(overServed * 2);
    }

    @Test
    void learnsFromFewEndings() {
        final RecordingHost host = twoClasses();
        for (int id = 0; id < 400; id++) {
            final int before = host.sends.size();
            host.request(id, id / 2 % 2);
            if (host.sends.size() > before) {
                final Outcome outcome = id % 2 == 0 ? Outcome.SERVED : Outcome.TIMED_OUT;
                host.end(id, 0, host.lastSend().worker(), outcome);
            }
            host.advanceTime(id % 4 == 0 ? SECOND * 27 / 10 : SECOND * 27 / 100);
        }
        // Half of the sent requests time out, so the budget decreases and most requests are shed.
        assertThat(host.rejected).filteredOn(id -> id >= 200).hasSizeGreaterThan(150);
    }

    @Test
    void doesNotShedLongJobsFirstIfPriorityWeightScalesWithWork() {
        final RecordingHost host =
                new RecordingHost(
                        TestSettings.weightedByWork(
                                List.of(
                                        requestClass(5, Idempotency.UNSAFE, DeduplicationScope.ALL),
                                        requestClass(
                                                1, Idempotency.UNSAFE, DeduplicationScope.ALL))));
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
            host.advanceTime(SECOND / 100);
        }
        assertThat(rejectedUnsent(host, 1, 1000)).isGreaterThan(rejectedUnsent(host, 0, 1000));
    }

    @Test
    void keepsBudgetWhileReportsShowFreeSlots() {
        final RecordingHost host = twoClasses();
        for (int id = 0; id < 2000; id++) {
            final int before = host.sends.size();
            host.request(id, id % 2);
            if (host.sends.size() > before) {
                final int worker = host.lastSend().worker();
                final Outcome outcome = id % 5 == 0 ? Outcome.TIMED_OUT : Outcome.SERVED;
                host.dispatcher.attemptEnded(
                        host.nowUs,
                        id,
                        0,
                        worker,
                        outcome,
                        100_000,
                        id % 5 != 0,
                        new LoadReport(id % 4 == 0 ? 8 : 5, 3, -1));
            }
            host.advanceTime(SECOND / 100);
        }
        assertThat(rejectedUnsent(host, 1, 0)).isLessThan(20);
    }
}
