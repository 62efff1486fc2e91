package cresschute.dispatch;

import static cresschute.dispatch.RecordingActions.SECOND;
import static cresschute.dispatch.RecordingActions.worker;
import static cresschute.dispatch.TestSettings.requestClass;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** When workers are asked for their load before a send. */
class DispatcherLoadQueryTest {

    private static RecordingActions queryingHost() {
        return new RecordingActions(
                        TestSettings.withLoadQueries(
                                List.of(requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL))))
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
    }

    @Test
    void queriesTheSelectedWorkersWhereReportsAreOld() {
        final RecordingActions host = queryingHost();
        for (int id = 0; id < 20; id++) {
            host.pass(5 * SECOND);
            host.queried.clear();
            host.request(id, 0);
            assertThat(host.queried).containsExactlyInAnyOrder(1, 2);
            assertThat(host.sends).hasSize(id);
            host.dispatcher.loadReported(
                    host.nowUs, 1, Outcome.SERVED, new LoadReport(id % 2 * 4, 4 - id % 2 * 4, -1));
            host.dispatcher.loadReported(
                    host.nowUs, 2, Outcome.SERVED, new LoadReport(4 - id % 2 * 4, id % 2 * 4, -1));
            assertThat(host.lastSend().worker()).isEqualTo(2 - id % 2);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    /** What holds when the request is sent counts, not what held when workers were queried. */
    @ParameterizedTest
    @ValueSource(strings = {"left", "drained", "both"})
    void sendsARequestHeldForAQueryByTheStateAtItsSend(String what) {
        final RecordingActions host = queryingHost();
        host.pass(5 * SECOND);
        host.queried.clear();
        host.request(1, 0);
        assertThat(host.queried).containsExactlyInAnyOrder(1, 2);
        if (!what.equals("drained")) {
            host.dispatcher.clientLeft(host.nowUs, 1);
        }
        if (!what.equals("left")) {
            host.list(EndpointListForm.CHANGES, new Worker(1, 0, 0, 0, WorkerState.DRAINING, 1, 0));
        }
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.SERVED, new LoadReport(4, -1, 0));
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, new LoadReport(0, -1, 9));
        host.pass(SECOND);
        assertThat(host.sends)
                .extracting(RecordingActions.Send::worker)
                .isEqualTo(what.equals("drained") ? List.of(2) : List.of());
    }

    @Test
    void sendsToTheShorterQueueOfTwoFullWorkers() {
        final RecordingActions host = queryingHost();
        for (int id = 0; id < 20; id++) {
            host.pass(5 * SECOND);
            host.request(id, 0);
            host.dispatcher.loadReported(
                    host.nowUs, 1, Outcome.SERVED, new LoadReport(0, -1, id % 2 * 6));
            host.dispatcher.loadReported(
                    host.nowUs, 2, Outcome.SERVED, new LoadReport(0, -1, 6 - id % 2 * 6));
            assertThat(host.lastSend().worker()).isEqualTo(1 + id % 2);
            host.end(id, 0, host.lastSend().worker(), Outcome.SERVED);
        }
    }

    @Test
    void queriesThreeWhereReportsAreOldAndNoneWhereTheyAreFresh() {
        final RecordingActions host =
                new RecordingActions(
                        TestSettings.withLoadQueries(
                                List.of(
                                        requestClass(
                                                1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
        host.pass(10 * SECOND);
        host.request(1, 0);
        assertThat(host.queried).containsExactlyInAnyOrder(1, 2, 3);
        for (int worker = 1; worker <= 3; worker++) {
            host.dispatcher.loadReported(
                    host.nowUs, worker, Outcome.SERVED, new LoadReport(4, -1, -1));
        }
        host.queried.clear();
        host.request(2, 0);
        assertThat(host.queried).isEmpty();
        assertThat(host.sends).hasSize(2);
    }

    @ParameterizedTest(name = "{0} dispatchers, a report {1} ms old: queried anew {2}")
    @CsvSource({"1, 1000, false", "14, 1000, true", "14, 100, false"})
    void takesAReportForOldSoonerTheMoreDispatchersSend(
            int dispatchers, long ageMs, boolean queriedAnew) {
        final RecordingActions host =
                new RecordingActions(
                        TestSettings.withLoadQueries(
                                List.of(requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL)),
                                dispatchers));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.pass(10 * SECOND);
        host.request(1, 0);
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.SERVED, new LoadReport(4, -1, -1));
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, new LoadReport(4, -1, -1));
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        host.pass(ageMs * 1000);
        host.queried.clear();
        host.request(2, 0);
        assertThat(host.queried.isEmpty()).isEqualTo(!queriedAnew);
        assertThat(host.sends).hasSize(queriedAnew ? 1 : 2);
    }

    @Test
    void doesNotWaitForAWorkerThatDoesNotAnswer() {
        final RecordingActions host = queryingHost();
        host.pass(5 * SECOND);
        host.request(1, 0);
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, LoadReport.NONE);
        host.pass(SECOND / 10);
        assertThat(host.sends).containsExactly(new RecordingActions.Send(1, 2));
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.TIMED_OUT, LoadReport.NONE);
        assertThat(host.sends).hasSize(1);
    }

    @Test
    void boundsTheQueriesOfOneRequest() {
        final RecordingActions host =
                new RecordingActions(
                                TestSettings.withLoadQueries(
                                        List.of(
                                                requestClass(
                                                        1,
                                                        Idempotency.SAFE,
                                                        DeduplicationScope.ALL))))
                        .list(
                                EndpointListForm.CACHED,
                                IntStream.rangeClosed(1, 40)
                                        .mapToObj(id -> worker(id, 0, 0))
                                        .toArray(Worker[]::new));
        host.pass(60 * SECOND);
        host.request(1, 0);
        int queries = 0;
        while (!host.queried.isEmpty() && queries <= 40) {
            final List<Integer> round = List.copyOf(host.queried);
            host.queried.clear();
            queries += round.size();
            round.forEach(
                    id ->
                            host.dispatcher.loadReported(
                                    host.nowUs, id, Outcome.TIMED_OUT, LoadReport.NONE));
        }
        assertThat(queries).as("load queries of one request").isEqualTo(6);
        assertThat(host.sends).hasSize(1);
    }

    /** A late report must not steer a keyed request out of its group. */
    @Test
    void forgetsReportsToEarlierQueriesOnceARequestIsSent() {
        final RecordingActions host =
                new RecordingActions(
                        TestSettings.withLoadQueries(
                                List.of(
                                        requestClass(
                                                1, Idempotency.KEYED, DeduplicationScope.CELL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1)).pass(5 * SECOND);
        host.request(1, 0);
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, LoadReport.NONE);
        host.pass(SECOND / 10);
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.SERVED, LoadReport.NONE);
        host.end(1, 0, 2, Outcome.BROKEN);
        host.pass(SECOND);
        assertThat(host.sends).containsOnly(new RecordingActions.Send(1, 2));
    }
}
