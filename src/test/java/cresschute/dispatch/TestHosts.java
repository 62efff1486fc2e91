package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestSettings.requestClass;
import static cresschute.dispatch.TestSettings.settings;

import java.util.List;

/** Hosts that several tests begin with. */
final class TestHosts {

    private TestHosts() {}

    /** A host of one class, without a list. */
    static RecordingHost hostOfClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RecordingHost(settings(List.of(requestClass(1, idempotency, scope))));
    }

    /** A host of one job that has started, whose worker reports progress each second. */
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

    /** A host of a safe class and two workers in two zones and cells. */
    static RecordingHost twoSafeWorkers() {
        return hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
    }

    /** A host of a safe class and three workers. */
    static RecordingHost threeSafeWorkers() {
        return hostOfClass(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
    }

    /** A host of two classes of equal work and unlike priority weight, and four workers. */
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

    /** Offers 100 requests a second; of each ten, seven are served and the others end as given. */
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

    /** A host of two classes after 20 s of {@link #offer}. */
    static RecordingHost underLoad(Outcome beyond) {
        final RecordingHost host = twoClasses();
        offer(host, 0, 2000, beyond);
        return host;
    }
}
