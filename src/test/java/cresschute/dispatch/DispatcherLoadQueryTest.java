package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.RecordingHost.worker;
import static cresschute.dispatch.TestSettings.requestClass;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks when workers are queried for their load before a send. */
class DispatcherLoadQueryTest {

    private static RecordingHost queryingHost() {
        return new RecordingHost(
                        TestSettings.withLoadQueries(
                                List.of(requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL))))
                .list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 1));
    }

    @Test
    void queriesSelectedWorkersIfReportsAreStale() {
        final RecordingHost host = queryingHost();
        for (int id = 0; id < 20; id++) {
            host.advanceTime(5 * SECOND);
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

    /** The state of client and workers at the send counts, not the state at the query. */
    @ParameterizedTest
    @ValueSource(strings = {"left", "drained", "both"})
    void usesStateAtSendForRequestThatWaitedForQuery(String what) {
        final RecordingHost host = queryingHost();
        host.advanceTime(5 * SECOND);
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
        host.advanceTime(SECOND);
        assertThat(host.sends)
                .extracting(RecordingHost.Send::worker)
                .isEqualTo(what.equals("drained") ? List.of(2) : List.of());
    }

    @Test
    void sendsToShorterQueueOfTwoFullWorkers() {
        final RecordingHost host = queryingHost();
        for (int id = 0; id < 20; id++) {
            host.advanceTime(5 * SECOND);
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
    void queriesThreeWorkersOnlyIfReportsAreStale() {
        final RecordingHost host =
                new RecordingHost(
                        TestSettings.withLoadQueries(
                                List.of(
                                        requestClass(
                                                1, Idempotency.SAFE, DeduplicationScope.ALL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0), worker(3, 0, 0));
        host.advanceTime(10 * SECOND);
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

    @ParameterizedTest(name = "{0} dispatchers, a report {1} ms old: queried again {2}")
    @CsvSource({"1, 1000, false", "14, 1000, true", "14, 100, false"})
    void treatsReportAsStaleSoonerWithMoreDispatchers(
            int dispatchers, long ageMs, boolean queriedAgain) {
        final RecordingHost host =
                new RecordingHost(
                        TestSettings.withLoadQueries(
                                List.of(requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL)),
                                dispatchers));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 0, 0));
        host.advanceTime(10 * SECOND);
        host.request(1, 0);
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.SERVED, new LoadReport(4, -1, -1));
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, new LoadReport(4, -1, -1));
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        host.advanceTime(ageMs * 1000);
        host.queried.clear();
        host.request(2, 0);
        assertThat(host.queried.isEmpty()).isEqualTo(!queriedAgain);
        assertThat(host.sends).hasSize(queriedAgain ? 1 : 2);
    }

    @Test
    void doesNotWaitForWorkerThatDoesNotAnswer() {
        final RecordingHost host = queryingHost();
        host.advanceTime(5 * SECOND);
        host.request(1, 0);
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, LoadReport.NONE);
        host.advanceTime(SECOND / 10);
        assertThat(host.sends).containsExactly(new RecordingHost.Send(1, 2));
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.TIMED_OUT, LoadReport.NONE);
        assertThat(host.sends).hasSize(1);
    }

    @Test
    void limitsQueriesOfOneRequest() {
        final RecordingHost host =
                new RecordingHost(
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
        host.advanceTime(60 * SECOND);
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

    /** Guards against a late report that sends a keyed request to a worker outside its group. */
    @Test
    void ignoresEarlierQueryReportsAfterSend() {
        final RecordingHost host =
                new RecordingHost(
                        TestSettings.withLoadQueries(
                                List.of(
                                        requestClass(
                                                1, Idempotency.KEYED, DeduplicationScope.CELL))));
        host.list(EndpointListForm.CACHED, worker(1, 0, 0), worker(2, 1, 1))
                .advanceTime(5 * SECOND);
        host.request(1, 0);
        host.dispatcher.loadReported(host.nowUs, 2, Outcome.SERVED, LoadReport.NONE);
        host.advanceTime(SECOND / 10);
        host.dispatcher.loadReported(host.nowUs, 1, Outcome.SERVED, LoadReport.NONE);
        host.end(1, 0, 2, Outcome.BROKEN);
        host.advanceTime(SECOND);
        assertThat(host.sends).containsOnly(new RecordingHost.Send(1, 2));
    }
}
