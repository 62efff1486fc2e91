package cresschute.testbed.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.testbed.JobClass;
import cresschute.testbed.WorkerStandIn.Spec;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plans, the setup derived from them, and the checks of the machine's limits. */
class CapacityPlanTest {

    static final CapacityPlan FULL_SIZE =
            new CapacityPlan(1_400, 1_800, 9_100, 300, 54, 7, 7, 2, 128, 1_500, 0.5, 60, 1, 0);

    @Test
    void setupHasPlannedAcceleratorsAndSlotsForAllJobs() {
        final List<Spec> workers = new ExperimentSetup(FULL_SIZE).workers();
        assertThat(workers).hasSize(1_400);
        final int accelerators =
                workers.stream()
                        .filter(each -> each.kind().equals("accelerated"))
                        .mapToInt(Spec::slots)
                        .sum();
        assertThat(accelerators).isEqualTo(1_800);
        assertThat(workers.stream().mapToInt(Spec::slots).sum()).isGreaterThan(9_100);
        assertThat(workers.stream().map(Spec::zone).distinct()).hasSize(7);
        assertThat(workers.stream().map(each -> each.zone().substring(0, 2)).distinct()).hasSize(2);
    }

    @Test
    void classFractionsSumToOne() {
        assertThat(
                        new ExperimentSetup(FULL_SIZE)
                                .classes().stream().mapToDouble(JobClass::share).sum())
                .isBetween(0.999, 1.001);
        assertThat(
                        new ExperimentSetup(
                                        new CapacityPlan(
                                                10, 0, 20, 10, 1, 1, 1, 1, 0, 0, 0, 1, 1, 0))
                                .classes())
                .extracting(JobClass::name)
                .doesNotContain("accelerated");
    }

    @Test
    void runTimesHaveRequestedMeanAndMaximum() {
        final RunTimes times = new RunTimes(RandomSource.XO_SHI_RO_256_PP.create(1), 30e6);
        double sum = 0;
        for (int i = 0; i < 100_000; i++) {
            final long us = times.next();
            assertThat(us).isBetween(1L, 60_000_000L);
            assertThat(times.remainder()).isBetween(1L, 60_000_000L);
            sum += us;
        }
        assertThat(sum / 100_000).isBetween(29.5e6, 30.5e6);
    }

    @ParameterizedTest
    @EnumSource(Sweep.Axis.class)
    void sweepHasFourSizesThenHeldOutFullSize(Sweep.Axis axis) {
        final List<Sweep.Point> points = Sweep.along(axis.label(), FULL_SIZE, 2);
        assertThat(points).hasSize(2 * 4 + 1);
        final Sweep.Point last = points.get(points.size() - 1);
        assertThat(last.heldOut()).isTrue();
        assertThat(last.plan()).isEqualTo(FULL_SIZE);
        final Set<CapacityPlan> sizes =
                points.subList(0, 8).stream()
                        .map(each -> each.plan().withSeed(0))
                        .collect(Collectors.toCollection(HashSet::new));
        assertThat(sizes).hasSize(4);
        assertThat(points.subList(0, 8)).noneMatch(Sweep.Point::heldOut);
    }

    @Test
    void seedDeterminesOrderOfPoints() {
        final List<Sweep.Point> points = Sweep.along("all", FULL_SIZE, 1);
        assertThat(points).hasSize(7 * 4 + 1).isEqualTo(Sweep.along("all", FULL_SIZE, 1));
        assertThat(
                        Sweep.along("all", FULL_SIZE.withSeed(2), 1).stream()
                                .map(each -> each.plan().withSeed(1)))
                .isNotEqualTo(points.stream().map(Sweep.Point::plan).toList());
    }

    @Test
    void rejectsPlanOverDescriptorLimit() {
        Preflight.checkDescriptors(FULL_SIZE, 20_000);
        assertThatThrownBy(() -> Preflight.checkDescriptors(FULL_SIZE, 4_096))
                .isInstanceOf(MachineLimitException.class)
                .hasMessageStartingWith("descriptors: one process needs ")
                .hasMessageContaining("the hard limit (ulimit -Hn) is 4096");
    }

    /** All workers of a cell are in the same process. */
    @Test
    void spreadsWorkersOverProcessesByDescriptorLimit() {
        assertThat(Preflight.workerProcesses(FULL_SIZE, 1_000_000)).isEqualTo(1);
        assertThat(Preflight.workerProcesses(FULL_SIZE, 20_000)).isEqualTo(2);
        assertThat(
                        new ExperimentSetup(FULL_SIZE)
                                .workers().stream()
                                        .collect(
                                                Collectors.groupingBy(
                                                        Spec::cell,
                                                        Collectors.mapping(
                                                                spec ->
                                                                        ExperimentSetup
                                                                                .processIndex(
                                                                                        spec, 2),
                                                                Collectors.toSet())))
                                        .values())
                .allMatch(parts -> parts.size() == 1);
    }

    @Test
    void rejectsPlanOverMemoryOrPortLimit() {
        assertThatThrownBy(() -> Preflight.checkMemory(FULL_SIZE, 500))
                .isInstanceOf(MachineLimitException.class)
                .hasMessageMatching("memory: [0-9]+ MB are needed, 500 MB are available");
        assertThatThrownBy(() -> Preflight.checkPorts(FULL_SIZE, "32768\t33000"))
                .isInstanceOf(MachineLimitException.class)
                .hasMessageContaining("233 local ports (net.ipv4.ip_local_port_range)");
    }

    /** The dispatchers of the experiment run with the same options as on the platform. */
    @Test
    void dispatchersUseOptionsOfRunLine() throws Exception {
        final String run =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        final List<String> options = List.of(run.split("[ \"]+"));
        assertThat(options)
                .containsAll(DispatcherProcess.OPTIONS)
                .containsAll(DispatcherProcess.MEMORY_OPTIONS);
    }
}
