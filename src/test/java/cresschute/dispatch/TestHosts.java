package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestSettings.requestClass;
import static cresschute.dispatch.TestSettings.settings;

import java.util.List;

/** Creates the hosts that several tests start with. */
final class TestHosts {

    private TestHosts() {}

    /** Returns a host with one class and without an endpoint list. */
    static RecordingHost hostOfClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RecordingHost(settings(List.of(requestClass(1, idempotency, scope))));
    }

    /**
     * Returns a host with one job that has started. Its worker is expected to report progress every
     * second.
     */
    static RecordingHost hostWithRunningJob(Idempotency idempotency) {
        final RequestClass hedgeableClass =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        idempotency,
                        DeduplicationScope.CELL,
                        SECOND * 4,
                        Placement.ANYWHERE);
        final RecordingHost host =
                new RecordingHost(TestSettings.hedging(List.of(hedgeableClass)))
                        .list(
                                EndpointListForm.CACHED,
                                worker(1, 0, 0),
                                worker(2, 0, 0),
                                worker(3, 0, 1),
                                worker(4, 0, 1));
        host.request(1, 0);
        host.dispatcher.jobProgressed(host.nowUs, 1, 0, host.lastSend().worker(), 0);
        return host;
    }

    /** Returns a host with a safe class and two workers in different zones and cells. */
    static RecordingHost twoSafeWorkers() {
        return hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
    }

    /** Returns a host with a safe class and three workers. */
    static RecordingHost threeSafeWorkers() {
        return hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
    }

    /**
     * Returns a host with four workers and two classes of equal work and different priority
     * weights.
     */
    static RecordingHost twoClasses() {
        final RecordingHost host =
                new RecordingHost(
                        settings(
                                List.of(
                                        requestClass(
                                                10, Idempotency.UNSAFE, DeduplicationScope.ALL),
                                        requestClass(
                                                1, Idempotency.UNSAFE, DeduplicationScope.ALL))));
        return host.list(
                EndpointListForm.CACHED,
                worker(1, 0, 0),
                worker(2, 0, 0),
                worker(3, 1, 1),
                worker(4, 1, 1));
    }

    /**
     * Sends 100 requests per second. Of each ten, seven are served and the others end with {@code
     * beyond}.
     */
    static void offer(RecordingHost host, int fromId, int toId, Outcome beyond) {
        int served = 0;
        for (int id = fromId; id < toId; id++) {
            served = id % 10 == 0 ? 0 : served;
            final int before = host.sends.size();
            host.request(id, id % 2);
            if (host.sends.size() > before) {
                host.end(id, 0, host.lastSend().worker(), served++ < 7 ? Outcome.SERVED : beyond);
            }
            host.advanceTime(SECOND / 100);
        }
    }

    /** Returns a host with two classes after 20 s of {@link #offer}. */
    static RecordingHost underLoad(Outcome beyond) {
        final RecordingHost host = twoClasses();
        offer(host, 0, 2000, beyond);
        return host;
    }
}
