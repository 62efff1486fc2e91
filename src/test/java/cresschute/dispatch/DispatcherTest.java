package cresschute.dispatch;

import static cresschute.dispatch.DispatcherHosts.hostWith;
import static cresschute.dispatch.DispatcherHosts.twoSafeWorkers;
import static cresschute.dispatch.DispatcherHosts.underLoad;
import static cresschute.dispatch.RecordingActions.SECOND;
import static cresschute.dispatch.RecordingActions.worker;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** One answer for each request, whatever happens to it on its way. */
class DispatcherTest {

    @Test
    void holdsARequestWithoutWorkersAndRejectsItInTime() {
        final RecordingActions host =
                hostWith(Idempotency.UNSAFE, DeduplicationScope.ALL).list(EndpointListForm.CACHED);
        host.request(1, 0);
        assertThat(host.rejected).isEmpty();
        host.pass(5 * SECOND);
        assertThat(host.rejected).containsExactly(1);
        assertThat(host.failed).isEmpty();
    }

    @Test
    void sendsAHeldRequestOnceAWorkerIsListed() {
        final RecordingActions host =
                hostWith(Idempotency.SAFE, DeduplicationScope.ALL).list(EndpointListForm.CACHED);
        host.request(1, 0);
        host.list(EndpointListForm.CHANGES, worker(9, 0, 0));
        host.pass(SECOND / 5);
        assertThat(host.sends).containsExactly(new RecordingActions.Send(1, 9));
    }

    @Test
    void answersATimeoutAtTheDeadlineAtOnce() {
        final RecordingActions host =
                hostWith(Idempotency.UNSAFE, DeduplicationScope.ALL)
                        .list(EndpointListForm.CACHED, worker(1, 0, 0));
        host.request(1, 0);
        host.pass(5 * SECOND);
        host.end(1, 0, 1, Outcome.TIMED_OUT);
        assertThat(host.failed).containsExactly(1);
        host.pass(SECOND);
        assertThat(host.sends).hasSize(1);
    }

    @Test
    void sendsNothingAfterTheClientLeft() {
        final RecordingActions host = twoSafeWorkers();
        host.request(1, 0);
        host.dispatcher.clientLeft(host.nowUs, 1);
        host.end(1, 0, host.lastSend().worker(), Outcome.FULL);
        host.pass(SECOND);
        assertThat(host.log).hasSize(1);
    }

    @Test
    void ignoresLateAndUnknownEvents() {
        final RecordingActions host = twoSafeWorkers();
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
    void failsAnUnusableRequestAtOnceAndDoesNotCountItAgainstItsWorker() {
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
        assertThat(host.rejected).isEmpty();
    }

    @Test
    void theSameSeedAndEventsGiveTheSameActions() {
        assertThat(underLoad(Outcome.FULL).log).isEqualTo(underLoad(Outcome.FULL).log);
    }
}
