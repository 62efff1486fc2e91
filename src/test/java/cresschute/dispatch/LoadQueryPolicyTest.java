package cresschute.dispatch;

import static cresschute.dispatch.PolicyFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks when workers are queried for their load. */
class LoadQueryPolicyTest {

    private static final long NOW = 100 * SECOND;
    private static final List<RequestClass> CLASSES =
            List.of(TestSettings.requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL));

    private static List<WorkerInstance> reportedAt(PolicyFixture fixture, long... timesUs) {
        return IntStream.range(0, timesUs.length)
                .mapToObj(
                        id -> {
                            final WorkerInstance worker = fixture.ready(id, 0, 0);
                            worker.slotsReported(0, timesUs[id]);
                            return worker;
                        })
                .toList();
    }

    /**
     * A report is stale after six mean running times of 0.4 s, divided by the number of
     * dispatchers.
     */
    @ParameterizedTest(name = "{0} dispatchers, {1} ms old: {2}")
    @CsvSource({"1, 2400, false", "1, 2401, true", "4, 600, false", "4, 601, true"})
    void queriesIfOlderOfTwoReportsIsStale(int dispatchers, long ageMs, boolean queries) {
        final PolicyFixture fixture =
                new PolicyFixture(TestSettings.withLoadQueries(CLASSES, dispatchers));
        final List<WorkerInstance> selected = reportedAt(fixture, NOW, NOW - ageMs * 1000);
        assertThat(fixture.loadQueries.shouldQuery(fixture.request(1, NOW), selected, NOW))
                .isEqualTo(queries);
    }

    @Test
    void queriesNothingIfHostDoesNotAllowIt() {
        final PolicyFixture fixture = new PolicyFixture(TestSettings.settings(CLASSES));
        assertThat(fixture.loadQueries.isAllowed()).isFalse();
        assertThat(
                        fixture.loadQueries.shouldQuery(
                                fixture.request(1, NOW), reportedAt(fixture, 0, 0), NOW))
                .isFalse();
    }

    @Test
    void queriesNothingIfOnlyOneWorkerIsSelected() {
        final PolicyFixture fixture = new PolicyFixture(TestSettings.withLoadQueries(CLASSES));
        assertThat(
                        fixture.loadQueries.shouldQuery(
                                fixture.request(1, NOW), reportedAt(fixture, 0), NOW))
                .isFalse();
    }

    @Test
    void stopsAfterTwoRoundsOfAtMostThreeQueries() {
        final PolicyFixture fixture = new PolicyFixture(TestSettings.withLoadQueries(CLASSES));
        final List<WorkerInstance> selected = reportedAt(fixture, 0, 0, 0, 0, 0);
        final PendingRequest request = fixture.request(1, NOW);
        for (int round = 0; round < 2; round++) {
            assertThat(fixture.loadQueries.shouldQuery(request, selected, NOW)).isTrue();
            assertThat(fixture.loadQueries.toQuery(selected)).hasSize(3);
            request.startQueries(fixture.loadQueries.toQuery(selected));
        }
        assertThat(fixture.loadQueries.shouldQuery(request, selected, NOW)).isFalse();
        request.startAttempt(selected.get(0), NOW);
        assertThat(fixture.loadQueries.shouldQuery(request, selected, NOW)).isTrue();
    }

    @Test
    void queriesAgainForHedgeAfterOneMeanRunningTime() {
        final PolicyFixture fixture = new PolicyFixture(TestSettings.withLoadQueries(CLASSES));
        assertThat(fixture.loadQueries.nextHedgeQueryUs(reportedAt(fixture, 0), NOW))
                .isEqualTo(NOW + 400_000);
        assertThat(fixture.loadQueries.nextHedgeQueryUs(List.of(), NOW)).isZero();
    }
}
