package cresschute.cli;

import static cresschute.cli.Programs.lineWith;
import static cresschute.cli.Programs.program;
import static cresschute.cli.Programs.signal;
import static cresschute.cli.Programs.start;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.ProgramProcess;
import cresschute.node.Json;
import cresschute.testbed.capacity.MeasurementWriter;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** The capacity experiment as a process with its own processes, none of which is left. */
@Timeout(60)
@Execution(ExecutionMode.CONCURRENT)
class CapacityProgramTest {

    private static final int DISPATCHERS = 2;

    /** Processes of the stub workers, the stub clients and the stub discovery service. */
    private static final int PEERS = 3;

    private static final List<String> SMALL_EXPERIMENT =
            List.of(
                    "lab",
                    "capacity",
                    "--json",
                    "--workers",
                    "40",
                    "--running",
                    "60",
                    "--starts",
                    "60",
                    "--dispatchers",
                    Integer.toString(DISPATCHERS),
                    "--gang",
                    "8",
                    "--list-changes",
                    "2",
                    "--changes-a-day",
                    "86400");

    private static Process startSmallExperiment(String... more) throws Exception {
        final List<String> arguments = new ArrayList<>(SMALL_EXPERIMENT);
        arguments.addAll(Arrays.asList(more));
        return start(program(arguments.toArray(new String[0])));
    }

    /** All processes of the experiment, once it measures. */
    private static List<ProcessHandle> processes(Process experiment, BufferedReader log)
            throws Exception {
        assertThat(lineWith(log, "measured ")).isNotNull();
        final List<ProcessHandle> processes = experiment.descendants().toList();
        assertThat(processes).hasSize(DISPATCHERS + PEERS);
        return processes;
    }

    private static void assertAllEnded(List<ProcessHandle> processes) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> processes.stream().noneMatch(ProcessHandle::isAlive));
    }

    private static JsonObject lastLine(BufferedReader out) {
        final List<String> lines = out.lines().toList();
        return Json.object(lines.get(lines.size() - 1));
    }

    @Test
    void smallExperimentPrintsConsistentResultAndLeavesNoProcess(@TempDir Path folder)
            throws Exception {
        final Path csv = folder.resolve("small.csv");
        final Process experiment = startSmallExperiment("--seconds", "3", "--csv", csv.toString());
        try (BufferedReader log = experiment.errorReader();
                BufferedReader out = experiment.inputReader()) {
            final List<ProcessHandle> processes = processes(experiment, log);
            log.lines().forEach(later -> {});
            final JsonObject result = lastLine(out);
            assertConsistent(result);
            assertThat(ProgramProcess.exitCode(experiment)).isZero();
            assertAllEnded(processes);
            assertRowsMatch(result, Files.readAllLines(csv));
        } finally {
            experiment.destroyForcibly();
        }
    }

    private static void assertConsistent(JsonObject result) {
        assertThat(result.get("workers").getAsInt()).isEqualTo(40);
        assertThat(result.get("dispatchers").getAsInt()).isEqualTo(DISPATCHERS);
        assertThat(result.get("unanswered").getAsInt()).isZero();
        assertThat(result.getAsJsonArray("rules_broken")).isEmpty();
        assertThat(result.get("partial").getAsBoolean()).isFalse();
        assertThat(result.get("running").getAsInt()).isPositive();
        assertThat(result.get("starts_per_second").getAsDouble()).isPositive();
        assertThat(result.getAsJsonObject("urgent_start_ms").keySet())
                .contains("p50", "p99", "p99.9");
        assertThat(result.getAsJsonObject("gangs").keySet())
                .containsExactly("whole", "partly", "none");
        assertThat(
                        result.get("served_share").getAsDouble()
                                + result.get("refused_share").getAsDouble())
                .isBetween(0.0, 1.0 + 1e-9);
        final JsonObject roles = result.getAsJsonObject("roles");
        assertThat(roles.keySet()).containsExactly("dispatcher", "worker", "discovery", "client");
        roles.entrySet()
                .forEach(
                        role ->
                                assertThat(role.getValue().getAsJsonObject().keySet())
                                        .contains(
                                                "cpu_percent",
                                                "memory_mb",
                                                "control_bytes_per_second"));
        final JsonObject dispatcher = roles.getAsJsonObject("dispatcher");
        assertThat(dispatcher.get("control_bytes_per_second").getAsDouble())
                .isGreaterThanOrEqualTo(
                        dispatcher.get("probe_bytes_per_second").getAsDouble()
                                + dispatcher.get("list_bytes_per_second").getAsDouble()
                                + dispatcher.get("report_bytes_per_second").getAsDouble()
                                - 0.1);
        assertThat(dispatcher.get("cpu_percent_max").getAsDouble())
                .isGreaterThanOrEqualTo(dispatcher.get("cpu_percent").getAsDouble());
    }

    /** One row for each role and measure, with the size in each. */
    private static void assertRowsMatch(JsonObject result, List<String> lines) {
        assertThat(lines.get(0)).isEqualTo(MeasurementWriter.VERSION_LINE);
        assertThat(lines.get(1)).isEqualTo(String.join(",", MeasurementWriter.COLUMNS));
        final List<Map<String, String>> rows =
                lines.subList(2, lines.size()).stream()
                        .map(line -> row(line.split(",", -1)))
                        .toList();
        assertThat(rows)
                .allMatch(
                        row ->
                                row.get("workers").equals("40")
                                        && row.get("running").equals("60")
                                        && row.get("axis").equals("none")
                                        && row.get("partial").equals("false"));
        assertThat(rows.stream().map(row -> row.get("role") + " " + row.get("measure")))
                .doesNotHaveDuplicates()
                .contains(
                        "dispatcher heap_mb",
                        "dispatcher descriptors",
                        "worker probes_per_second",
                        "discovery calls_per_second",
                        "client urgent_start_p999_ms",
                        "client retries_per_request");
        assertThat(rows)
                .allSatisfy(row -> assertThat(Double.parseDouble(row.get("value"))).isFinite());
        final String roles =
                rows.stream()
                        .map(row -> row.get("role"))
                        .distinct()
                        .collect(Collectors.joining(","));
        assertThat(roles).isEqualTo(String.join(",", result.getAsJsonObject("roles").keySet()));
    }

    private static Map<String, String> row(String[] fields) {
        assertThat(fields).hasSize(MeasurementWriter.COLUMNS.size());
        return MeasurementWriter.COLUMNS.stream()
                .collect(
                        Collectors.toMap(
                                name -> name,
                                name -> fields[MeasurementWriter.COLUMNS.indexOf(name)]));
    }

    /** Ctrl-C: what was measured until then is printed as partial, and nothing goes on. */
    @Test
    void interruptedExperimentPrintsPartialResult() throws Exception {
        final Process experiment = startSmallExperiment("--seconds", "600");
        try (BufferedReader log = experiment.errorReader();
                BufferedReader out = experiment.inputReader()) {
            final List<ProcessHandle> processes = processes(experiment, log);
            signal(experiment, "INT");
            final JsonObject result = lastLine(out);
            assertThat(ProgramProcess.exitCode(experiment)).isEqualTo(130);
            assertAllEnded(processes);
            assertThat(result.get("partial").getAsBoolean()).isTrue();
            assertThat(result.get("partial_because").getAsString()).isEqualTo("interrupted");
            assertThat(result.get("starts_per_second").getAsDouble()).isPositive();
        } finally {
            experiment.destroyForcibly();
        }
    }

    /** The death of a stub process ends the experiment, which keeps its measurements until then. */
    @Test
    void deathOfStubWorkersEndsExperiment() throws Exception {
        final Process experiment = startSmallExperiment("--seconds", "600");
        try (BufferedReader log = experiment.errorReader();
                BufferedReader out = experiment.inputReader()) {
            final List<ProcessHandle> processes = processes(experiment, log);
            assertThat(lineWith(log, "measured ")).isNotNull();
            for (final ProcessHandle each : processes) {
                if (Files.readString(Path.of("/proc", Long.toString(each.pid()), "cmdline"))
                        .contains("\0WORKERS\0")) {
                    each.destroyForcibly();
                }
            }
            final JsonObject result = lastLine(out);
            assertThat(ProgramProcess.exitCode(experiment)).isEqualTo(1);
            assertAllEnded(processes);
            assertThat(result.get("partial").getAsBoolean()).isTrue();
            assertThat(result.get("partial_because").getAsString())
                    .startsWith("the process of the stub workers ended");
            assertThat(result.getAsJsonObject("roles").getAsJsonObject("dispatcher").keySet())
                    .contains("cpu_percent");
        } finally {
            experiment.destroyForcibly();
        }
    }

    /** Whoever kills the experiment outright ends its processes with it. */
    @Test
    void killedExperimentLeavesNoProcess() throws Exception {
        final Process experiment = startSmallExperiment("--seconds", "600");
        try (BufferedReader log = experiment.errorReader()) {
            final List<ProcessHandle> processes = processes(experiment, log);
            experiment.destroyForcibly();
            assertAllEnded(processes);
        } finally {
            experiment.destroyForcibly();
        }
    }
}
