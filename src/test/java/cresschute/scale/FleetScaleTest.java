package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.RequestClass;
import cresschute.testbed.model.DispatcherMeter;
import cresschute.testbed.model.FleetModel;
import cresschute.testbed.model.FleetModel.Demand;
import cresschute.testbed.model.FleetModel.Kind;
import cresschute.testbed.model.FleetModel.ModuleMaker;
import cresschute.testbed.model.FleetModel.Plan;
import cresschute.testbed.model.Gang;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of dispatchers and workers of the planned size, and of parts of it, in virtual time. */
class FleetScaleTest {

    private static final long SEED = 14;
    private static final double USUAL_LOAD = 0.69;

    /**
     * Three workers are queried before a send, some of them a second time, and some for a hedged
     * attempt.
     */
    private static final double MAX_LOAD_QUERIES_PER_SEND = 4;

    private static final double MAX_LOAD_QUERIES_PER_WORKER_PER_SECOND = 0.9;

    private static FleetModel fleet(
            int workers, int dispatchers, long meanRunUs, double load, ModuleMaker maker) {
        final List<Demand> demands =
                List.of(
                        new Demand(0.1, meanRunUs, meanRunUs, 0),
                        new Demand(0.6, meanRunUs, meanRunUs, 0),
                        new Demand(0.3, meanRunUs, meanRunUs, 0));
        final List<RequestClass> classes = PlannedSize.CLASSES;
        return new FleetModel(
                new Plan(
                        PlannedSize.settings(dispatchers, PlannedSize.TENANTS, classes, false),
                        demands,
                        List.of(new Kind(9, 1, 0.7), new Kind(10, 1, 0.3)),
                        workers,
                        PlannedSize.WORKERS_PER_CELL,
                        load,
                        1.5,
                        SEED),
                maker);
    }

    private static long sum(FleetModel fleet, ToLongFunction<DispatcherMeter> count) {
        return fleet.meters().stream().mapToLong(count).sum();
    }

    /**
     * The load per worker is the same; the load queries that all dispatchers together send to a
     * worker must not grow with the number of dispatchers.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 20, 40})
    void boundsLoadQueriesPerWorkerForAnyNumberOfDispatchers(int dispatchers) {
        final int workers = PlannedSize.TENTH_OF_WORKERS;
        final FleetModel fleet =
                fleet(workers, dispatchers, PlannedSize.MEAN_RUN_US, USUAL_LOAD, Dispatcher::new);
        fleet.advance(40 * PlannedSize.SECOND_US);
        fleet.meters().forEach(DispatcherMeter::reset);
        final int seconds = 40;
        fleet.advance(seconds * PlannedSize.SECOND_US);
        final long loadQueries = sum(fleet, DispatcherMeter::loadQueries);
        final long sends = sum(fleet, DispatcherMeter::sends);
        assertThat(sends).as("sends").isGreaterThan(20L * seconds);
        assertThat((double) loadQueries / sends)
                .as("load queries per send, %d dispatchers, seed %d", dispatchers, SEED)
                .isLessThanOrEqualTo(MAX_LOAD_QUERIES_PER_SEND);
        assertThat((double) loadQueries / workers / seconds)
                .as("load queries per worker per second")
                .isLessThanOrEqualTo(MAX_LOAD_QUERIES_PER_WORKER_PER_SECOND);
    }

    /**
     * As many requests as run at the planned size arrive at once at seven dispatchers, in gangs of
     * one tenant each.
     */
    @Test
    void answersGangsThatFillTheFleetAtOnceExactlyOnce() {
        final AnswerCounter answers = new AnswerCounter();
        final FleetModel fleet =
                fleet(
                        PlannedSize.WORKERS,
                        PlannedSize.DISPATCHERS,
                        2 * PlannedSize.SECOND_US,
                        1e-6,
                        answers.wrap(Dispatcher::new));
        final int gangs = PlannedSize.RUNNING / PlannedSize.GANG + 1;
        final List<Gang> all = new ArrayList<>();
        for (int i = 0; i < gangs; i++) {
            all.add(
                    fleet.gang(
                            PlannedSize.USUAL + i % 2, i % PlannedSize.TENANTS, PlannedSize.GANG));
        }
        fleet.advance(15 * PlannedSize.SECOND_US);
        assertThat(answers.maxOpen())
                .as("open at a time")
                .isGreaterThanOrEqualTo(PlannedSize.RUNNING);
        assertThat(answers.requests())
                .as("requests that arrived")
                .isGreaterThanOrEqualTo(gangs * PlannedSize.GANG);
        fleet.drain();
        assertThat(answers.notAnsweredOnce()).as("not answered once, seed %d", SEED).isEmpty();
        assertThat(all.stream().mapToInt(gang -> gang.startedWithin(PlannedSize.MEAN_RUN_US)).sum())
                .as("members of gangs that started")
                .isGreaterThan(gangs * PlannedSize.GANG * 9 / 10);
    }

    /**
     * Workers of both regions fail and restart as new processes while the regions are partitioned.
     */
    @Test
    void regionPartitionRepeatsNoUnsafeRequestAndKeepsNoStaleWorker() {
        final AnswerCounter answers = new AnswerCounter();
        final int workers = 2 * PlannedSize.TENTH_OF_WORKERS;
        final FleetModel fleet =
                fleet(
                        workers,
                        PlannedSize.DISPATCHERS,
                        5 * PlannedSize.SECOND_US,
                        0.4,
                        answers.wrap(Dispatcher::new));
        fleet.advance(10 * PlannedSize.SECOND_US);
        fleet.cutRegions(PlannedSize.FIRST_ZONE_OF_SECOND_REGION);
        fleet.advance(2 * PlannedSize.SECOND_US);
        final List<Integer> lost = fleet.up().stream().filter(id -> id % 5 == 0).toList();
        fleet.crashWorkers(lost);
        fleet.advance(18 * PlannedSize.SECOND_US);
        final List<Integer> back = lost.subList(0, lost.size() / 2);
        fleet.startWorkers(back);
        fleet.advance(10 * PlannedSize.SECOND_US);
        assertThat(sum(fleet, DispatcherMeter::unreachableCalls))
                .as("failed calls during the partition")
                .isPositive();
        fleet.joinRegions();
        fleet.advance(2 * PlannedSize.SECOND_US);
        fleet.meters().forEach(DispatcherMeter::resetUnreachableCalls);
        fleet.advance(10 * PlannedSize.SECOND_US);
        assertThat(sum(fleet, DispatcherMeter::unreachableCalls))
                .as("sends and load queries to workers that are gone")
                .isZero();
        assertThat(fleet.up()).as("workers up").hasSize(workers - lost.size() + back.size());
        fleet.drain();
        assertThat(sum(fleet, meter -> meter.repeatedStarts(PlannedSize.ONCE)))
                .as("second starts of requests that must run once, seed %d", SEED)
                .isZero();
        assertThat(sum(fleet, meter -> meter.repeatedStarts(PlannedSize.USUAL)))
                .as("second starts of requests that may run twice")
                .isPositive();
        assertThat(answers.notAnsweredOnce()).as("not answered once, seed %d", SEED).isEmpty();
    }
}
