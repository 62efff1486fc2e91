package cresschute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the schema: rejected values of every field, the checks across blocks, and the resulting
 * settings.
 */
class SettingsFileTest {

    private static final String NODE = "node(name = \"n\", listen = \"127.0.0.1:0\")\n";
    private static final String WORKER = "worker(id = \"w\", address = \"127.0.0.1:9\")\n";
    private static final String CLASS =
            "job_class(name = \"a\", worth = 1, aim = 1 * s, deadline = 2 * s, effect ="
                    + " \"safe\")\n";

    private static List<String> problems(String text) {
        return SettingsFile.parse(text).problems().stream()
                .map(problem -> problem.format("f"))
                .toList();
    }

    private static NodeSettings settings(String text) {
        final SettingsFile.Result result = SettingsFile.parse(text);
        assertThat(result.problems()).isEmpty();
        return result.settings();
    }

    @Test
    void minimalScriptUsesDefaults() {
        final NodeSettings settings = settings(NODE + WORKER + CLASS);
        assertThat(settings.seed()).isNull();
        assertThat(settings.discovery()).isNull();
        assertThat(settings.dispatch().endpointListIsPolled()).isFalse();
        assertThat(settings.zones()).containsExactly("local");
        assertThat(settings.kinds()).containsExactly("worker");
        assertThat(settings.maxFileDescriptors()).isEqualTo(1024);
        assertThat(settings.dispatch().limits().maxRetryAfterUs()).isEqualTo(2_000_000);
    }

    @Test
    void convertsEveryFieldToTypedSettings() throws IOException {
        final NodeSettings settings =
                settings(Files.readString(Path.of("src/test/resources/full.star")));
        assertThat(settings)
                .usingRecursiveComparison()
                .ignoringFields("formattedScript", "dispatch")
                .isEqualTo(
                        new NodeSettings(
                                "n7",
                                IpAddress.parse("[::1]:9000"),
                                5L,
                                settings.dispatch(),
                                List.of("quick", "file"),
                                List.of("east", "west"),
                                List.of("big", "small"),
                                List.of(
                                        new NodeSettings.WorkerEntry(
                                                "w1",
                                                IpAddress.parse("10.0.0.1:91"),
                                                "west",
                                                "big",
                                                3,
                                                2.5),
                                        new NodeSettings.WorkerEntry(
                                                "w2",
                                                IpAddress.parse("10.0.0.2:91"),
                                                "east",
                                                "small",
                                                0,
                                                1)),
                                IpAddress.parse("10.0.0.9:85"),
                                300_000,
                                7_000_000,
                                300,
                                "json",
                                "debug",
                                "/run/c.sock",
                                "/var/c",
                                new NodeSettings.Bodies(
                                        16 << 20,
                                        256 << 10,
                                        1 << 20,
                                        300 << 10,
                                        4 << 20,
                                        List.of(
                                                new NodeSettings.ClassBodies(
                                                        64 << 10,
                                                        1 << 10,
                                                        10_000_000,
                                                        false,
                                                        false),
                                                new NodeSettings.ClassBodies(
                                                        1L << 30, 2 << 10, 5_000_000, true, true))),
                                null,
                                null));
        final var module = settings.dispatch();
        assertThat(module.dispatchers()).isEqualTo(2);
        assertThat(module.zone()).isZero();
        assertThat(module.endpointListIsPolled()).isTrue();
        assertThat(module.pollWithinUs()).isEqualTo(4_000_000);
        assertThat(module.limits().maxAttempts()).isEqualTo(4);
        assertThat(module.limits().allowsHedging()).isTrue();
        assertThat(module.limits().maxRetryAfterUs()).isZero();
        assertThat(module.allowsLoadQueries()).isTrue();
        assertThat(module.reportsLoad()).isFalse();
        assertThat(module.reportsJobStart()).isFalse();
        assertThat(module.progressUs()).isEqualTo(1_500_000);
        assertThat(module.slowStart().initialCapacityFraction()).isEqualTo(0.32);
        assertThat(module.slowStart().warmUpDurationUs()).isEqualTo(8_800_000);
        assertThat(module.slowStart().overloadFactor()).isEqualTo(2.5);
        assertThat(module.slowStart().overloadAfterUs()).isEqualTo(2_000_000);
        assertThat(
                        List.of(
                                module.objectiveWeights().overall(),
                                module.objectiveWeights().worstWindow(),
                                module.objectiveWeights().worstClass()))
                .containsExactly(1.0, 2.0, 3.0);
        final var file = module.classes().get(1);
        assertThat(file.priorityWeight()).isEqualTo(5);
        assertThat(file.latencyObjectiveUs()).isEqualTo(4_000_000);
        assertThat(file.latencyObjectiveStretch()).isEqualTo(2);
        assertThat(file.deadlineUs()).isEqualTo(25_000_000);
        assertThat(file.idempotency()).isEqualTo(Idempotency.KEYED);
        assertThat(file.deduplicationScope()).isEqualTo(DeduplicationScope.CELL);
        assertThat(file.deduplicationWindowUs()).isEqualTo(40_000_000);
        assertThat(file.maxAttempts()).isEqualTo(2);
        assertThat(file.placement().zones()).containsExactly(1);
        assertThat(file.placement().kinds()).containsExactly(0);
    }

    /** The formatted settings are a script that declares the same settings. */
    @Test
    void formattedScriptParsesToEqualSettings() throws IOException {
        for (final String file : List.of("src/test/resources/full.star", "deploy/appliance.star")) {
            final NodeSettings once = settings(Files.readString(Path.of(file)));
            assertThat(settings(once.formattedScript())).isEqualTo(once);
        }
    }

    @Test
    void sampleScriptHasNoProblems() throws IOException {
        assertThat(SettingsFile.read(Path.of("deploy/appliance.star")).problems()).isEmpty();
    }

    /** The settings page contains the reference that is generated from the schema. */
    @Test
    void settingsPageContainsGeneratedReference() throws IOException {
        assertThat(Files.readString(Path.of("docs/settings.md")))
                .contains(SettingsFile.reference());
    }

    @Test
    void everyFieldRejectsValueOfWrongType() {
        for (final Block block : Schema.BLOCKS) {
            final String script =
                    block.name()
                            + "("
                            + block.fields().stream()
                                    .map(field -> field.name() + " = {}")
                                    .collect(Collectors.joining(", "))
                            + ")";
            assertThat(problems(script))
                    .as(block.name())
                    .containsAll(
                            block.fields().stream()
                                    .map(
                                            field ->
                                                    "f:1:"
                                                            + (script.indexOf(
                                                                            field.name() + " = {}")
                                                                    + field.name().length()
                                                                    + 4)
                                                            + ": "
                                                            + block.name()
                                                            + ": "
                                                            + field.name()
                                                            + " is a dict; allowed: "
                                                            + field.type().allowed())
                                    .toList());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    node(name = "", listen = "1.2.3.4:5")      | node: name is ""; allowed: a name of 1 to 64 letters, digits, '.', '-' and '_', the first a letter or digit
                    node(name = "n", listen = "localhost:80")  | node: listen is "localhost:80"; allowed: an IP address with a port, such as "127.0.0.1:9000"
                    node(name = "n", listen = "1.2.3.256:80")  | node: listen is "1.2.3.256:80"; allowed: an IP address with a port, such as "127.0.0.1:9000"
                    node(name = "n", listen = "1.2.3.4:65536") | node: listen is "1.2.3.4:65536"; allowed: an IP address with a port, such as "127.0.0.1:9000"
                    node("n")                                  | node: positional arguments are not allowed; write name = value
                    node(name = "n", naem = "m")               | node has no field 'naem'; did you mean 'name'?
                    limits(colour = 1)                         | limits has no field 'colour'; it has attempts, second_copies, retry_after, sockets, connect_timeout, idle_timeout, probes
                    limits(attempts = 6)                       | limits: attempts is 6; allowed: a whole number from 1 to 5
                    limits(attempts = 2.0)                     | limits: attempts is 2.0; allowed: a whole number from 1 to 5
                    limits(retry_after = 2)                    | limits: retry_after is 2; allowed: a time from 0 * ms to 1 * minutes, such as 2 * s
                    limits(retry_after = 2 * KiB)              | limits: retry_after is 2 * KiB; allowed: a time from 0 * ms to 1 * minutes, such as 2 * s
                    limits(retry_after = -1 * s)               | limits: retry_after is -1 * s; allowed: a time from 0 * ms to 1 * minutes, such as 2 * s
                    limits(second_copies = 1)                  | limits: second_copies is 1; allowed: True or False
                    logs(format = "xml")                       | logs: format is "xml"; allowed: "text" or "json"
                    job_class(kinds = ["a", "a"])              | job_class: kinds is a list; allowed: a list of names, each once
                    control(socket = "here")                   | control: socket is "here"; allowed: a path that begins with '/', of at most 100 bytes
                    limits(); limits()                         | limits is declared too often; at most once is allowed
                    goal(whole = 0, worst_window = 0, worst_class = 0) | goal: all weights are 0; at least one must be above 0
                    nodee(name = "n")                          | unknown name 'nodee'; did you mean 'node'?
                    """)
    void reportsInvalidFieldValue(String script, String message) {
        assertThat(problems(script)).anyMatch(problem -> problem.endsWith(": " + message));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    aim = 3 * s            | job_class "b": deadline 2 * s is below aim 3 * s; it must be at least aim
                    effect = "keyed"       | job_class "b": effect "keyed" needs repeat_window; allowed: a time from 0 * ms to 1 * hours, such as 2 * s
                    repeat_window = 1 * s  | job_class "b": repeat_window requires effect "keyed", but effect is "safe"
                    repeat_scope = "cell"  | job_class "b": repeat_scope requires effect "keyed", but effect is "safe"
                    attempts = 4           | job_class "b": attempts 4 is above the maximum 3 in limits
                    zones = ["moon"]       | job_class "b": no worker has zone "moon"; workers have "local"
                    kinds = ["big"]        | job_class "b": no worker has kind "big"; workers have "worker"
                    """)
    void reportsInconsistentBlocks(String field, String problem) {
        final String script =
                "job_class(name = \"b\", "
                        + (field.startsWith("aim")
                                ? "deadline = 2 * s, worth = 1, "
                                : "deadline = 2 * s, ")
                        + field
                        + (field.startsWith("aim") ? "" : ", aim = 1 * s, worth = 1")
                        + (field.startsWith("effect") ? "" : ", effect = \"safe\"")
                        + ")\n";
        final String reported =
                problems(script + NODE + WORKER + "limits(attempts = 3)\n" + CLASS).get(0);
        final int column =
                field.startsWith("aim")
                        ? script.indexOf("2 * s") + 1
                        : script.indexOf(field) + field.indexOf("= ") + 3;
        assertThat(reported).isEqualTo("f:1:" + column + ": " + problem);
    }

    @Test
    void rejectsDuplicateClassName() {
        assertThat(problems(NODE + WORKER + CLASS + CLASS))
                .containsExactly(
                        "f:4:18: job_class: name \"a\" is a duplicate of the one at 3:18; values"
                                + " must be unique");
    }

    @Test
    void reportsMissingBlocks() {
        assertThat(problems(""))
                .containsExactly(
                        "f:1:1: no node is declared; exactly one is required",
                        "f:1:1: no job_class is declared; at least one is required",
                        "f:1:1: neither a worker nor a director is declared; at least one is"
                                + " required");
    }

    /**
     * After a script ends with an error, blocks that it did not reach are not reported as missing.
     */
    @Test
    void reportsNoMissingBlocksAfterScriptError() {
        assertThat(problems("node(name = 1, listen = \"1.2.3.4:5\")\nfail(\"here\")\n" + CLASS))
                .containsExactly(
                        "f:1:13: node: name is 1; allowed: a name of 1 to 64 letters, digits, '.',"
                                + " '-' and '_', the first a letter or digit",
                        "f:2:1: fail: here");
    }

    @Test
    void rejectsDuplicateWorkerAddress() {
        assertThat(problems(NODE + CLASS + WORKER + WORKER.replace("\"w\"", "\"v\"")))
                .containsExactly(
                        "f:4:28: worker: address \"127.0.0.1:9\" is a duplicate of the one at 3:28;"
                                + " values must be unique");
    }

    @Test
    void reportsFileThatIsNotUtf8OrTooLong(@TempDir Path folder) throws IOException {
        final Path file = folder.resolve("x.star");
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe});
        assertThat(SettingsFile.read(file).problems())
                .extracting(Problem::message)
                .containsExactly("the file is not UTF-8 text");
        Files.write(file, "#".repeat(2 << 20).getBytes(StandardCharsets.US_ASCII));
        assertThat(SettingsFile.read(file).problems())
                .extracting(Problem::message)
                .containsExactly("the script is too long; at most 262144 characters are allowed");
    }
}
