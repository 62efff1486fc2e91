package cresschute.testbed.capacity;

import cresschute.dispatch.SlowStartSettings;
import cresschute.testbed.Observation;
import cresschute.testbed.RuleChecker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Computes the figures from the samples of a window and the observations. Does no I/O. */
final class Evaluation {

    private static final double NS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;

    /** Slow start settings under which no worker counts as cold. */
    private static final SlowStartSettings WARM = new SlowStartSettings(1, 0, 3, 1_000_000);

    private final CapacityPlan plan;
    private final List<Sample> samples;
    private final List<Double> heapsMb;
    private final Measures measures = new Measures();

    private Evaluation(CapacityPlan plan, List<Sample> samples, List<Double> heapsMb) {
        this.plan = plan;
        this.samples = samples;
        this.heapsMb = heapsMb;
    }

    /**
     * Evaluates an experiment.
     *
     * @param samples the samples of the window, in order; empty if the window did not begin
     * @param heapsMb the heap of each dispatcher after a garbage collection, where measured, MB
     * @param faults log lines of the dispatchers about broken invariants and rejected settings
     * @param partial why the measurement is incomplete, or null if it is complete
     */
    static CapacityResult of(
            CapacityPlan plan,
            List<Sample> samples,
            List<Double> heapsMb,
            List<Observation> observations,
            List<String> faults,
            String partial) {
        final Evaluation evaluation = new Evaluation(plan, samples, heapsMb);
        if (samples.size() > 1) {
            evaluation.dispatchers();
            evaluation.workers();
            evaluation.discovery();
        }
        evaluation.clients(observations);
        final List<String> broken = new ArrayList<>(faults);
        RuleChecker.check(observations, new ExperimentSetup(plan).classes(), WARM)
                .forEach(each -> broken.add(each.rule() + ": " + each.what()));
        return new CapacityResult(plan, evaluation.measures, broken, partial);
    }

    private Sample first() {
        return samples.get(0);
    }

    private Sample last() {
        return samples.get(samples.size() - 1);
    }

    private double seconds() {
        return samples.size() < 2 ? 0 : (last().ns() - first().ns()) / NS_PER_SECOND;
    }

    private double perSecond(double count) {
        return count / seconds();
    }

    private Traffic workerTraffic() {
        return last().workerTraffic().since(first().workerTraffic());
    }

    private Traffic discoveryTraffic() {
        return last().discoveryTraffic().since(first().discoveryTraffic());
    }

    private double cpuPercent(ToDoubleFunction<Sample> cpuSeconds) {
        return PERCENT
                * perSecond(cpuSeconds.applyAsDouble(last()) - cpuSeconds.applyAsDouble(first()));
    }

    // ---- Roles ----

    private void dispatchers() {
        final int count = plan.dispatchers();
        double sum = 0;
        double max = 0;
        for (int i = 0; i < count; i++) {
            final int number = i;
            final double percent =
                    cpuPercent(sample -> sample.dispatchers().get(number).cpuSeconds());
            sum += percent;
            max = Math.max(max, percent);
        }
        final Traffic all = workerTraffic().plus(discoveryTraffic());
        put(Role.DISPATCHER, "cpu_percent", sum / count);
        put(Role.DISPATCHER, "cpu_percent_max", max);
        put(Role.DISPATCHER, "memory_mb", mean(ProcessUsage::rssMb));
        put(Role.DISPATCHER, "rss_mb", mean(ProcessUsage::rssMb));
        put(
                Role.DISPATCHER,
                "rss_mb_max",
                samples.stream()
                        .flatMap(each -> each.dispatchers().stream())
                        .mapToDouble(ProcessUsage::rssMb)
                        .max()
                        .orElse(0));
        put(
                Role.DISPATCHER,
                "heap_mb",
                heapsMb.stream().mapToDouble(each -> each).average().orElse(Double.NaN));
        put(Role.DISPATCHER, "descriptors", mean(ProcessUsage::descriptors));
        put(Role.DISPATCHER, "control_bytes_per_second", perSecond(all.controlBytes()) / count);
        put(
                Role.DISPATCHER,
                "probe_bytes_per_second",
                perSecond(all.bytes(TrafficKind.PROBE)) / count);
        put(
                Role.DISPATCHER,
                "probes_per_second",
                perSecond(all.messages(TrafficKind.PROBE)) / count);
        put(
                Role.DISPATCHER,
                "handshake_per_second",
                perSecond(all.messages(TrafficKind.HANDSHAKE)) / count);
        put(
                Role.DISPATCHER,
                "list_bytes_per_second",
                perSecond(all.bytes(TrafficKind.LIST)) / count);
        put(
                Role.DISPATCHER,
                "report_bytes_per_second",
                perSecond(all.bytes(TrafficKind.LOAD_REPORT)) / count);
        put(
                Role.DISPATCHER,
                "request_bytes_per_second",
                perSecond(all.bytes(TrafficKind.REQUEST)) / count);
        put(
                Role.DISPATCHER,
                "start_line_bytes_per_second",
                perSecond(all.bytes(TrafficKind.START_LINE)) / count);
        put(
                Role.DISPATCHER,
                "progress_line_bytes_per_second",
                perSecond(all.bytes(TrafficKind.PROGRESS_LINE)) / count);
        put(
                Role.DISPATCHER,
                "result_line_bytes_per_second",
                perSecond(all.bytes(TrafficKind.RESULT_LINE)) / count);
        put(
                Role.DISPATCHER,
                "attempts_per_second",
                perSecond(all.messages(TrafficKind.REQUEST)) / count);
    }

    private double mean(ToDoubleFunction<ProcessUsage> figure) {
        return last().dispatchers().stream().mapToDouble(figure).average().orElse(0);
    }

    private void workers() {
        final Traffic traffic = workerTraffic();
        final double each = plan.workers();
        putStubUsage(Role.WORKER, Sample.WORKERS);
        put(Role.WORKER, "running", samples.stream().mapToInt(Sample::running).average().orElse(0));
        put(Role.WORKER, "connections", last().workers().connections());
        put(
                Role.WORKER,
                "probes_per_second",
                perSecond(traffic.messages(TrafficKind.PROBE)) / each);
        put(
                Role.WORKER,
                "handshakes_per_second",
                perSecond(traffic.messages(TrafficKind.HANDSHAKE)) / each);
        put(Role.WORKER, "control_bytes_per_second", perSecond(traffic.controlBytes()) / each);
    }

    private void discovery() {
        final Traffic traffic = discoveryTraffic();
        putStubUsage(Role.DISCOVERY, Sample.DISCOVERY);
        put(
                Role.DISCOVERY,
                "calls_per_second",
                perSecond(
                        last().discovery().get("calls").getAsLong()
                                - first().discovery().get("calls").getAsLong()));
        put(Role.DISCOVERY, "bytes_per_second", perSecond(traffic.bytes(TrafficKind.LIST)));
        put(Role.DISCOVERY, "control_bytes_per_second", perSecond(traffic.controlBytes()));
        put(
                Role.DISCOVERY,
                "changes_per_second",
                perSecond(
                        last().discovery().get("changes").getAsLong()
                                - first().discovery().get("changes").getAsLong()));
    }

    private void putStubUsage(Role role, int number) {
        put(role, "cpu_percent", cpuPercent(sample -> sample.stubs().get(number).cpuSeconds()));
        put(role, "memory_mb", last().stubs().get(number).rssMb());
    }

    private void clients(List<Observation> observations) {
        final long fromUs = samples.isEmpty() ? Long.MAX_VALUE : first().us();
        final long toUs = samples.isEmpty() ? Long.MAX_VALUE : last().us();
        final RequestOutcomes outcomes = RequestOutcomes.of(observations, fromUs, toUs);
        if (samples.size() > 1) {
            putStubUsage(Role.CLIENT, Sample.CLIENTS);
            final long connects =
                    last().clients().get("connects").getAsLong()
                            - first().clients().get("connects").getAsLong();
            put(
                    Role.CLIENT,
                    "control_bytes_per_second",
                    perSecond(connects * Traffic.HANDSHAKE_BYTES));
            put(Role.CLIENT, "handshakes_per_second", perSecond(connects));
            put(Role.CLIENT, "measured_seconds", seconds());
            put(Role.CLIENT, "open", samples.stream().mapToInt(Sample::open).average().orElse(0));
            put(Role.CLIENT, "requests_per_second", perSecond(outcomes.requests()));
        }
        put(Role.CLIENT, "served_share", outcomes.servedFraction());
        put(Role.CLIENT, "refused_share", outcomes.rejectedFraction());
        put(Role.CLIENT, "first_refused_share", outcomes.firstRejectedFraction());
        put(Role.CLIENT, "unanswered", outcomes.unanswered());
        put(Role.CLIENT, "urgent_start_p50_ms", outcomes.urgentStartMs(P50));
        put(Role.CLIENT, "urgent_start_p99_ms", outcomes.urgentStartMs(P99));
        put(Role.CLIENT, "urgent_start_p999_ms", outcomes.urgentStartMs(P999));
        put(Role.CLIENT, "urgent_not_started", outcomes.urgentNotStarted());
        final int[] gangs = outcomes.gangs();
        put(Role.CLIENT, "gangs_whole", gangs[0]);
        put(Role.CLIENT, "gangs_partial", gangs[1]);
        put(Role.CLIENT, "gangs_refused", gangs[2]);
        put(Role.CLIENT, "retries_per_request", outcomes.retriesPerRequest());
    }

    private void put(Role role, String measure, double value) {
        measures.put(role, measure, value);
    }
}
