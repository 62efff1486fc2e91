package cresschute.dispatch;

import static cresschute.dispatch.RecordingActions.SECOND;
import static cresschute.dispatch.RecordingActions.worker;
import static cresschute.dispatch.TestSettings.requestClass;
import static cresschute.dispatch.TestSettings.settings;

import java.util.List;

/** Hosts that several tests begin with. */
final class DispatcherHosts {

    private DispatcherHosts() {}

    /** A host of one class, without a list. */
    static RecordingActions hostWith(Idempotency idempotency, DeduplicationScope scope) {
        return new RecordingActions(settings(List.of(requestClass(1, idempotency, scope))));
    }

    /** A host of one job that has started, whose worker reports progress each second. */
    static RecordingActions hostWithARunningJob(Idempotency idempotency) {
        final RequestClass patient =
                new RequestClass(
                        1,
                        SECOND,
                        2,
                        5 * SECOND,
                        idempotency,
                        DeduplicationScope.CELL,
                        SECOND * 4,
                        Placement.ANYWHERE);
        final RecordingActions host =
                new RecordingActions(TestSettings.hedging(List.of(patient)))
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
    static RecordingActions twoSafeWorkers() {
        return hostWith(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1));
    }

    /** A host of a safe class and three workers. */
    static RecordingActions threeSafeWorkers() {
        return hostWith(Idempotency.SAFE, DeduplicationScope.ALL)
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
    }

    /** A host of two classes of equal work and unlike priority weight, and four workers. */
    static RecordingActions twoClasses() {
        final RecordingActions host =
                new RecordingActions(
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
    static void offer(RecordingActions host, int fromId, int toId, Outcome beyond) {
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

    /** A host of two classes after 20 s of {@link #offer}. */
    static RecordingActions underLoad(Outcome beyond) {
        final RecordingActions host = twoClasses();
        offer(host, 0, 2000, beyond);
        return host;
    }
}
