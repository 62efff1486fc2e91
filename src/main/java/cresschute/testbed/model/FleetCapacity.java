package cresschute.testbed.model;

import cresschute.dispatch.AttemptLimits;
import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.ObjectiveWeights;
import cresschute.dispatch.Placement;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.SlowStartSettings;
import cresschute.dispatch.Tenant;
import cresschute.dispatch.WeightSource;
import cresschute.testbed.model.FleetModel.Demand;
import cresschute.testbed.model.FleetModel.Kind;
import cresschute.testbed.model.FleetModel.ModuleMaker;
import cresschute.testbed.model.FleetModel.Plan;
import cresschute.testbed.model.FleetModel.Tally;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Measures the fleet of the planned size, and smaller fleets at the same load per worker, in
 * virtual time. It measures the weight of requests served in time, urgent starts, load queries and
 * the age of load reports, for the decision module and for simple baseline policies.
 */
public final class FleetCapacity {

    /**
     * A fleet to measure: its numbers of workers and dispatchers, the policy and the random seed.
     */
    public record Point(int workers, int dispatchers, String policy, long seed) {}

    /** The policy name of the decision module; the other policies are baselines. */
    public static final String MODULE = "module";

    /** The names of the baseline policies. */
    public static final List<String> BASELINES =
            List.of("random", "power_of_two_stale", "least_outstanding_true");

    private static final long SECOND_US = 1_000_000;
    private static final int ZONES = 7;
    private static final int WORKERS_PER_CELL = 20;
    private static final int TENANTS = 54;

    /** Job starts per second per worker: 300 over 1,400. */
    private static final double STARTS_PER_WORKER = 300.0 / 1_400;

    private static final double LOAD = 0.69;
    private static final long MEAN_RUN_US = 30 * SECOND_US;
    private static final long DEADLINE_US = 300 * SECOND_US;
    private static final long WARM_UP_S = 90;
    private static final long MEASURED_S = 60;
    private static final double TRAFFIC_SKEW = 1.5;
    private static final List<RequestClass> CLASSES =
            List.of(
                    requestClass(10, 5_400_000, 1.3),
                    requestClass(2, 30 * SECOND_US, 2),
                    requestClass(1, 60 * SECOND_US, 2.5));
    private static final List<Demand> DEMANDS =
            List.of(
                    new Demand(0.1, MEAN_RUN_US, MEAN_RUN_US, 0),
                    new Demand(0.6, MEAN_RUN_US, MEAN_RUN_US, 0),
                    new Demand(0.3, MEAN_RUN_US, MEAN_RUN_US, 0));
    private static final List<Kind> KINDS = List.of(new Kind(9, 1, 0.7), new Kind(10, 1, 0.3));

    private FleetCapacity() {}

    private static RequestClass requestClass(
            double value, long latencyObjectiveUs, double stretch) {
        return new RequestClass(
                value,
                latencyObjectiveUs,
                stretch,
                DEADLINE_US,
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                0,
                Placement.ANYWHERE);
    }

    private static DispatchSettings settings(Point point) {
        final double quotaPerS = 1.3 * STARTS_PER_WORKER * point.workers() / TENANTS;
        final List<Tenant> tenants =
                IntStream.range(0, TENANTS)
                        .mapToObj(i -> new Tenant("tenant-" + i, quotaPerS))
                        .toList();
        return new DispatchSettings(
                point.dispatchers(),
                0,
                ZONES,
                KINDS.size(),
                CLASSES,
                tenants,
                0.3,
                false,
                new AttemptLimits(5, 2 * SECOND_US, true),
                new SlowStartSettings(0.3, 20 * SECOND_US, 3, SECOND_US),
                new ObjectiveWeights(0.65, 0.15, 0.2, 0),
                false,
                0,
                WeightSource.NOMINAL,
                true,
                true,
                SECOND_US,
                0,
                true,
                false,
                0,
                false,
                DispatchSettings.UNLIMITED);
    }

    private static FleetModel fleet(Point point) {
        final FleetModel[] built = new FleetModel[1];
        final ModuleMaker maker =
                point.policy().equals(MODULE)
                        ? Dispatcher::new
                        : (settings, seed, actions) ->
                                new BaselineModule(
                                        BaselineModule.Policy.of(point.policy()),
                                        seed,
                                        actions,
                                        worker -> built[0].trueLoad(worker));
        built[0] =
                new FleetModel(
                        new Plan(
                                settings(point),
                                DEMANDS,
                                KINDS,
                                point.workers(),
                                WORKERS_PER_CELL,
                                LOAD,
                                TRAFFIC_SKEW,
                                point.seed()),
                        maker);
        return built[0];
    }

    /**
     * Runs a fleet and returns the measurements by name, with the unit in the name. The same point
     * gives the same result.
     */
    public static Map<String, Double> measure(Point point) {
        final FleetModel fleet = fleet(point);
        fleet.advance(WARM_UP_S * SECOND_US);
        fleet.meters().forEach(DispatcherMeter::reset);
        fleet.advance(MEASURED_S * SECOND_US);
        final Map<String, Double> measures = new LinkedHashMap<>();
        final double loadQueries =
                fleet.meters().stream().mapToLong(DispatcherMeter::loadQueries).sum();
        measures.put("probes_per_second_per_worker", loadQueries / MEASURED_S / point.workers());
        measures.put(
                "probes_per_second_per_dispatcher", loadQueries / MEASURED_S / point.dispatchers());
        final long[] agesUs =
                fleet.meters().stream()
                        .flatMapToLong(meter -> LongStream.of(meter.loadReportAgesUs()))
                        .sorted()
                        .toArray();
        measures.put("belief_age_p50_seconds", quantileS(agesUs, 0.5));
        measures.put("belief_age_p99_seconds", quantileS(agesUs, 0.99));
        fleet.drain();
        measures.put("value_share", valueShare(fleet));
        final long[] delaysUs = fleet.startDelaysUs(0, WARM_UP_S, WARM_UP_S + MEASURED_S);
        measures.put("urgent_start_p50_seconds", quantileS(delaysUs, 0.5));
        measures.put("urgent_start_p99_seconds", quantileS(delaysUs, 0.99));
        measures.put("urgent_start_p999_seconds", quantileS(delaysUs, 0.999));
        measures.put("urgent_starts", (double) delaysUs.length);
        return measures;
    }

    private static double valueShare(FleetModel fleet) {
        double inTime = 0;
        double asked = 0;
        for (int i = 0; i < CLASSES.size(); i++) {
            final Tally tally = fleet.tally(i, WARM_UP_S, WARM_UP_S + MEASURED_S);
            inTime += tally.inTime() * CLASSES.get(i).priorityWeight();
            asked += tally.asked() * CLASSES.get(i).priorityWeight();
        }
        return inTime / asked;
    }

    /**
     * The smallest value that at least this share of the values does not exceed, s; {@code NaN} if
     * there are none.
     */
    private static double quantileS(long[] sortedUs, double share) {
        return sortedUs.length == 0
                ? Double.NaN
                : (double) sortedUs[Math.max(0, (int) Math.ceil(share * sortedUs.length) - 1)]
                        / SECOND_US;
    }

    /** The average number of running jobs at this fleet size. */
    public static long running(int workers) {
        return Math.round(workers * STARTS_PER_WORKER * MEAN_RUN_US / SECOND_US);
    }

    /** Job starts per second at this fleet size. */
    public static double startsPerSecond(int workers) {
        return workers * STARTS_PER_WORKER;
    }

    /** The number of tenants; it is the same at every fleet size. */
    public static int tenants() {
        return TENANTS;
    }
}
