package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestHosts.hostOfClass;
import static cresschute.dispatch.TestHosts.twoSafeWorkers;
import static cresschute.dispatch.TestHosts.underLoad;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that each request gets exactly one answer. */
class DispatcherTest {

    @Test
    void holdsRequestWithoutWorkersAndRejectsItInTime() {
        final RecordingHost host =
                hostOfClass(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED);
        host.request(1, 0);
        assertThat(host.rejected).isEmpty();
        host.advanceTime(5 * SECOND);
        assertThat(host.rejected).containsExactly(1);
        assertThat(host.failed).isEmpty();
    }

    @Test
    void sendsHeldRequestOnceWorkerIsListed() {
        final RecordingHost host =
                hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL).list(EndpointListForm.CACHED);
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, worker(9, 0, 0));
        host.advanceTime(SECOND / 5);
        assertThat(host.sends).containsExactly(new RecordingHost.Send(1, 9));
    }

    @Test
    void answersAtOnceAfterTimeoutAtDeadline() {
        final RecordingHost host =
                hostOfClass(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.advanceTime(5 * SECOND);
        host.end(1, 0, 1, Outcome.TIMED_OUT);
        assertThat(host.failed).containsExactly(1);
        host.advanceTime(SECOND);
        assertThat(host.sends).hasSize(1);
    }

    @Test
    void sendsNothingAfterClientLeft() {
        final RecordingHost host = twoSafeWorkers();
        host.request(1, 0);
        host.dispatcher.clientLeft(host.nowUs, 1);
        host.end(1, 0, host.lastSend().worker(), Outcome.FULL);
        host.advanceTime(SECOND);
        assertThat(host.log).hasSize(1);
    }

    @Test
    void ignoresLateAndUnknownEvents() {
        final RecordingHost host = twoSafeWorkers();
        host.request(1, 0);
        final int worker = host.lastSend().worker();
        host.end(1, 0, worker, Outcome.SERVED);
        host.end(1, 0, worker, Outcome.FULL);
        host.end(77, 3, 5, Outcome.BROKEN);
        host.dispatcher.jobProgressed(host.nowUs, 1, 0, worker, 0.5);
        host.dispatcher.clientLeft(host.nowUs, 1);
        host.dispatcher.timerFired(host.nowUs, 123);
        assertThat(host.log).hasSize(1);
    }

    @Test
    void failsUnusableRequestWithoutCountingItAgainstWorker() {
        final RecordingHost host = twoSafeWorkers();
        for (int id = 1; id <= 40; id++) {
            host.request(id, 0);
            host.end(
                    id,
                    0,
                    host.lastSend().worker(),
                    host.lastSend().worker() == 1 ? Outcome.UNUSABLE : Outcome.SERVED);
        }
        assertThat(host.sends).hasSize(40);
        assertThat(host.sends.subList(20, 40)).extracting(RecordingHost.Send::worker).contains(1);
        assertThat(host.sends).filteredOn(send -> send.worker() == 1).hasSameSizeAs(host.failed);
        assertThat(host.rejected).isEmpty();
    }

    @Test
    void sameSeedAndEventsProduceSameActions() {
        assertThat(underLoad(Outcome.FULL).log).isEqualTo(underLoad(Outcome.FULL).log);
    }
}
