package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.Dispatcher;
import cresschute.peers.ExchangeSettings;
import cresschute.testbed.model.DispatcherMeter;
import cresschute.testbed.model.ExchangingModules;
import cresschute.testbed.model.FleetModel;
import cresschute.testbed.model.FleetModel.Demand;
import cresschute.testbed.model.FleetModel.Kind;
import cresschute.testbed.model.FleetModel.ModuleMaker;
import cresschute.testbed.model.FleetModel.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests dispatchers that exchange their in-flight counts, with a tenth of the workers of the
 * planned size.
 */
class ExchangeScaleTest {

    private static final long SEED = 15;
    private static final double LOAD = 0.69;
    private static final int WARM_UP_S = 40;
    private static final int SECONDS = 40;

    private static FleetModel fleet(ModuleMaker maker) {
        final long runUs = PlannedSize.MEAN_RUN_US;
        final List<Demand> demands =
                List.of(
                        new Demand(0.1, runUs, runUs, 0),
                        new Demand(0.6, runUs, runUs, 0),
                        new Demand(0.3, runUs, runUs, 0));
        return new FleetModel(
                new Plan(
                        PlannedSize.settings(
                                PlannedSize.DISPATCHERS,
                                PlannedSize.TENANTS,
                                PlannedSize.CLASSES,
                                false),
                        demands,
                        List.of(new Kind(9, 1, 0.7), new Kind(10, 1, 0.3)),
                        PlannedSize.TENTH_OF_WORKERS,
                        PlannedSize.WORKERS_PER_CELL,
                        LOAD,
                        1.5,
                        SEED),
                maker);
    }

    private static long loadQueries(FleetModel fleet) {
        fleet.advance(WARM_UP_S * PlannedSize.SECOND_US);
        fleet.meters().forEach(DispatcherMeter::reset);
        fleet.advance(SECONDS * PlannedSize.SECOND_US);
        return fleet.meters().stream().mapToLong(DispatcherMeter::loadQueries).sum();
    }

    /** Some load queries remain, because a part of the lookups is verified at the worker itself. */
    @Test
    void exchangeReplacesMostLoadQueriesWithinByteLimit() {
        final ExchangingModules exchange =
                new ExchangingModules(Dispatcher::new, ExchangeSettings.DEFAULT_BYTES_PER_S);
        final long with = loadQueries(fleet(exchange));
        final long without = loadQueries(fleet(Dispatcher::new));
        assertThat(without)
                .as("load queries without the exchange, seed %d", SEED)
                .isGreaterThan(20L * SECONDS);
        assertThat(with)
                .as("load queries with the exchange, of %d without", without)
                .isPositive()
                .isLessThan(without / 5);
        assertThat(exchange.answeredFromPeers())
                .as("load queries that the exchange answered")
                .isGreaterThan(without / 2);
        assertThat(exchange.bytes())
                .as("bytes of all dispatchers")
                .isPositive()
                .isLessThanOrEqualTo(
                        PlannedSize.DISPATCHERS
                                * ExchangeSettings.DEFAULT_BYTES_PER_S
                                * (WARM_UP_S + SECONDS));
    }
}
