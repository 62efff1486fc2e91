package cresschute.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RunDone;
import cresschute.testbed.Observation.RunStarted;
import cresschute.testbed.Observation.WorkerBooted;
import cresschute.testbed.Observation.WorkerListed;
import cresschute.testbed.RequestOutcomes.End;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the stand-ins around a real node, seed 1: each fault has its effect, and the rules hold
 * under all of them.
 */
@Timeout(60)
@Execution(ExecutionMode.CONCURRENT)
class FleetTest {

    private static final long SEED = 1;

    private static Fleet fleet(String faults) {
        final Fleet fleet = new Fleet(new Fleet.Plan(4, 20, SEED, InjectedFault.parse(faults)));
        fleet.start();
        return fleet;
    }

    private static void await(Fleet fleet, Predicate<Observation> wanted) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(30))
                .until(() -> fleet.observations().stream().anyMatch(wanted));
    }

    /** Waits until all requests are answered, then stops the fleet. */
    private static FleetReport finish(Fleet fleet) {
        fleet.stopArriving();
        Awaitility.await().atMost(Duration.ofSeconds(30)).until(() -> fleet.waiting() == 0);
        fleet.stop();
        return fleet.report();
    }

    /**
     * Stops the fleet at once; requests that still wait count as unfinished, which breaks no rule.
     */
    private static FleetReport stopImmediately(Fleet fleet) {
        fleet.stop();
        return fleet.report();
    }

    private static void assertSound(FleetReport report) {
        assertThat(report.breaches()).isEmpty();
        assertThat(report.invariantBreaches()).isZero();
        assertThat(report.outcomes().ended(End.UNANSWERED)).isZero();
    }

    private static long count(Fleet fleet, Class<? extends Observation> kind) {
        return fleet.observations().stream().filter(kind::isInstance).count();
    }

    private static boolean serves(Observation seen) {
        return seen instanceof RequestAnswered answer && answer.status() == LoadClients.OK;
    }

    @Test
    void servesEveryRequestWithoutFaults() {
        // The load is well below the capacity of eight workers, so that nothing has to be rejected.
        try (Fleet fleet = new Fleet(new Fleet.Plan(8, 12, SEED, List.of()))) {
            fleet.start();
            Awaitility.await().until(() -> count(fleet, RequestSent.class) >= 25);
            final FleetReport report = finish(fleet);
            assertSound(report);
            assertThat(report.outcomes().ended(End.SERVED)).isEqualTo(report.outcomes().asked());
            assertThat(report.json().keySet())
                    .contains(
                            "asked",
                            "served",
                            "refused",
                            "failed",
                            "unanswered",
                            "rules_broken",
                            "worth_kept");
            assertThat(report.json().getAsJsonObject("classes").getAsJsonObject("lookup").keySet())
                    .contains("p50_ms", "p99_ms");
        }
    }

    /** Under either fault, every request gets one answer and nothing takes effect twice. */
    @ParameterizedTest
    @ValueSource(strings = {"reset:w1x1@0s", "garbage:w1x1@0s"})
    void retriesFailedAttemptsOnOtherWorkers(String fault) {
        try (Fleet fleet = fleet(fault)) {
            final Set<String> troubled = new HashSet<>();
            await(
                    fleet,
                    seen -> {
                        if (seen instanceof AttemptReceived send && send.worker().equals("w1")) {
                            troubled.add(send.id());
                        }
                        return seen instanceof RequestAnswered answer
                                && answer.status() == LoadClients.OK
                                && troubled.contains(answer.id())
                                && !answer.body().startsWith("w1 ");
                    });
            assertSound(stopImmediately(fleet));
            assertThat(fleet.observations())
                    .noneMatch(
                            seen ->
                                    seen instanceof RequestAnswered answer
                                            && answer.body().startsWith("w1 "));
        }
    }

    @Test
    void slowWorkerTakesLonger() {
        try (Fleet fleet = fleet("slow:w1x20@0s+30s")) {
            await(fleet, seen -> seen instanceof RunStarted run && run.worker().equals("w1"));
            final RunStarted run =
                    fleet.observations().stream()
                            .filter(
                                    seen ->
                                            seen instanceof RunStarted start
                                                    && start.worker().equals("w1"))
                            .map(RunStarted.class::cast)
                            .findFirst()
                            .orElseThrow();
            final long workUs =
                    fleet.observations().stream()
                            .filter(
                                    seen ->
                                            seen instanceof RequestSent request
                                                    && request.id().equals(run.id()))
                            .map(seen -> ((RequestSent) seen).workUs())
                            .findFirst()
                            .orElseThrow();
            Awaitility.await().until(() -> fleet.nowUs() > run.us() + 3 * workUs);
            assertThat(fleet.observations())
                    .noneMatch(
                            seen ->
                                    seen instanceof RunDone done
                                            && done.worker().equals("w1")
                                            && done.id().equals(run.id()));
            assertSound(stopImmediately(fleet));
        }
    }

    @Test
    void silentWorkerRunsNothingUntilFaultEnds() {
        try (Fleet fleet = fleet("silent:w1@0s+4s")) {
            await(
                    fleet,
                    seen -> seen instanceof AttemptReceived send && send.worker().equals("w1"));
            await(fleet, seen -> seen instanceof RunDone done && !done.worker().equals("w1"));
            assertThat(fleet.observations())
                    .noneMatch(seen -> seen instanceof RunDone done && done.worker().equals("w1"));
            await(fleet, seen -> seen instanceof RunDone done && done.worker().equals("w1"));
            assertSound(stopImmediately(fleet));
        }
    }

    /** The worker restarts cold and is reported as such; the node must not overload it. */
    @Test
    void crashedWorkerRestartsCold() {
        try (Fleet fleet = fleet("crash:w1@1s+1s")) {
            await(
                    fleet,
                    seen ->
                            seen instanceof WorkerListed reported
                                    && reported.worker().equals("w1")
                                    && reported.state().equals("DELETED"));
            await(fleet, seen -> seen instanceof WorkerBooted);
            await(
                    fleet,
                    seen ->
                            seen instanceof WorkerListed reported
                                    && reported.worker().equals("w1")
                                    && reported.startedMs() > 0);
            final int before = fleet.observations().size();
            Awaitility.await()
                    .atMost(Duration.ofSeconds(20))
                    .until(
                            () -> {
                                final List<Observation> seen = fleet.observations();
                                return seen.subList(before, seen.size()).stream()
                                        .anyMatch(
                                                each ->
                                                        each instanceof AttemptReceived send
                                                                && send.worker().equals("w1"));
                            });
            assertSound(stopImmediately(fleet));
        }
    }

    @Test
    void sendsNothingNewToDrainingWorker() {
        try (Fleet fleet = fleet("drain:w1@500ms+30s")) {
            await(
                    fleet,
                    seen ->
                            seen instanceof WorkerListed reported
                                    && reported.state().equals("DRAINING"));
            final int before = fleet.observations().size();
            Awaitility.await().until(() -> count(fleet, RequestSent.class) > 60);
            final long reportedUs =
                    fleet.observations().stream()
                            .filter(
                                    seen ->
                                            seen instanceof WorkerListed reported
                                                    && reported.state().equals("DRAINING"))
                            .findFirst()
                            .orElseThrow()
                            .us();
            assertSound(stopImmediately(fleet));
            assertThat(fleet.observations().subList(before, fleet.observations().size()))
                    .noneMatch(
                            seen ->
                                    seen instanceof AttemptReceived send
                                            && send.worker().equals("w1")
                                            && send.firstByteUs()
                                                    > reportedUs + RuleChecker.MAX_DRAIN_DELAY_US);
        }
    }

    /** The workers named in the settings are enough to serve requests until discovery answers. */
    @Test
    void servesWithConfiguredWorkersWhileDiscoveryIsDown() {
        try (Fleet fleet = fleet("director@0s+3s")) {
            await(fleet, FleetTest::serves);
            assertThat(fleet.observations()).noneMatch(WorkerListed.class::isInstance);
            await(fleet, WorkerListed.class::isInstance);
            assertSound(stopImmediately(fleet));
        }
    }

    @Test
    void burstMultipliesRequests() {
        try (Fleet calm = new Fleet(new Fleet.Plan(2, 20, SEED, List.of()));
                Fleet burst =
                        new Fleet(
                                new Fleet.Plan(
                                        2, 20, SEED, InjectedFault.parse("burstx10@0s+30s")))) {
            calm.start();
            burst.start();
            Awaitility.await().until(() -> count(calm, RequestSent.class) >= 15);
            assertThat(count(burst, RequestSent.class))
                    .isGreaterThan(2 * count(calm, RequestSent.class));
            final FleetReport report = stopImmediately(burst);
            assertSound(report);
            assertThat(report.outcomes().ended(End.UNFINISHED)).isPositive();
        }
    }

    @Test
    void tailFaultMakesSomeJobsLong() {
        try (Fleet fleet =
                new Fleet(new Fleet.Plan(8, 100, SEED, InjectedFault.parse("tailx30@0s+30s")))) {
            fleet.start();
            await(
                    fleet,
                    seen ->
                            seen instanceof RequestSent request
                                    && request.workUs() > 6 * 2_400_000);
            assertSound(stopImmediately(fleet));
        }
    }

    @Test
    void rejectsFaultForUnknownWorker() {
        assertThatThrownBy(
                        () ->
                                new Fleet(
                                        new Fleet.Plan(
                                                2, 1, SEED, InjectedFault.parse("slow:w9@1s"))))
                .hasMessage("no worker is called 'w9'; there are w1 to w2");
    }

    @Test
    void tableFitsRequestedWidth() {
        try (Fleet fleet = fleet("")) {
            await(fleet, FleetTest::serves);
            final FleetReport report = stopImmediately(fleet);
            assertThat(report.table(40))
                    .allMatch(line -> line.length() <= 40)
                    .anyMatch(line -> line.equals("one answer         kept"));
            assertThat(report.table(80)).allMatch(line -> line.length() <= 80);
        }
    }
}
