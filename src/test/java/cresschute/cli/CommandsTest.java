package cresschute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.node.Json;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** The command line within this process: words, exit codes, and what each command prints. */
class CommandsTest {

    private static final String SAMPLE = "deploy/appliance.star";

    private record CommandResult(int code, String out, String err) {}

    private static CommandResult run(String... args) {
        final StringWriter out = new StringWriter();
        final StringWriter err = new StringWriter();
        final CommandLine line =
                Commands.commandLine()
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(err, true));
        final int code = line.execute(args);
        return new CommandResult(code, out.toString(), err.toString());
    }

    /** Words that cannot be used: one line with a hint, and 2. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                                                | no command is given; try 'cresschute --help'
                    frobnicate                  | Unmatched argument at index 0: 'frobnicate'; try 'cresschute --help'
                    serve --setings x           | Unknown options: '--setings', 'x'; try 'cresschute serve --help'
                    serve --settings            | Missing required parameter for option '--settings' (FILE); try 'cresschute serve --help'
                    serve -x                    | Unknown option: '-x'; try 'cresschute serve --help'
                    check                       | no FILE is given; try 'cresschute check --help'
                    check a b                   | Unmatched argument at index 2: 'b'; try 'cresschute check --help'
                    demo --workers 0            | --workers: 0 is out of range; allowed: 1 to 1024; try 'cresschute demo --help'
                    demo --workers many         | Invalid value for option '--workers': 'many' is not an int; try 'cresschute demo --help'
                    demo --rate 0               | --rate: 0.0 is out of range; allowed: above 0, up to 2000; try 'cresschute demo --help'
                    demo --rate NaN             | --rate: NaN is out of range; allowed: above 0, up to 2000; try 'cresschute demo --help'
                    demo --for 5                | --for: '5' is not a duration; expected: a number and ms, s or m, such as 500ms; try 'cresschute demo --help'
                    demo --for 0s               | --for: '0s' is out of range; allowed: up to 60m; try 'cresschute demo --help'
                    demo --trouble slow:w9@1s   | --trouble: no worker is called 'w9'; there are w1 to w8; try 'cresschute demo --help'
                    lab capacity --workers -3   | --workers: -3 is out of range; allowed: 1 to 10000; try 'cresschute lab capacity --help'
                    lab capacity --workers 10001 | --workers: 10001 is out of range; allowed: 1 to 10000; try 'cresschute lab capacity --help'
                    lab capacity --workers many | Invalid value for option '--workers': 'many' is not an int; try 'cresschute lab capacity --help'
                    lab capacity --zones 1      | --zones: 1 zones cannot make 2 regions: a zone belongs to one region; try 'cresschute lab capacity --help'
                    lab capacity --tenants 0    | --tenants: 0 is out of range; allowed: 1 to 1000; try 'cresschute lab capacity --help'
                    lab capacity --dispatchers 8 | --dispatchers: 8 is out of range; allowed: 1 to 7; try 'cresschute lab capacity --help'
                    lab capacity --starts NaN   | --starts: NaN is out of range; allowed: 0.1 to 5000; try 'cresschute lab capacity --help'
                    lab capacity --starts 1     | --running: 9100 at 1 starts per second means a mean running time of 9100 s; allowed: 0.1 to 120 s; try 'cresschute lab capacity --help'
                    lab capacity --gang -1      | --gang: -1 is out of range; allowed: 0 to 1024; try 'cresschute lab capacity --help'
                    lab capacity --seconds 0    | --seconds: 0 is out of range; allowed: 1 to 900; try 'cresschute lab capacity --help'
                    lab capacity --memory-mb 8  | --memory-mb: 8 is out of range; allowed: 160 to 4096; try 'cresschute lab capacity --help'
                    lab capacity --repetitions 0 | --repetitions: 0 is out of range; allowed: 1 to 100; try 'cresschute lab capacity --help'
                    lab capacity --sweep speed  | --sweep: 'speed' is not an axis; allowed: workers, running, starts, tenants, dispatchers, list-changes, settings-changes, all; try 'cresschute lab capacity --help'
                    lab capacity --csv no/x.csv | --csv: there is no folder no; try 'cresschute lab capacity --help'
                    """)
    void reportsUnusableArgumentsInOneLine(String arguments, String message) {
        final CommandResult result = run(arguments == null ? new String[0] : arguments.split(" +"));
        assertThat(result.err()).isEqualTo("cresschute: " + message + System.lineSeparator());
        assertThat(result.out()).isEmpty();
        assertThat(result.code()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "serve", "benchlink", "check", "demo", "version", "completion"})
    void everyCommandHasHelpWithAnExample(String command) {
        final CommandResult result = command.isEmpty() ? run("--help") : run(command, "--help");
        assertThat(result.code()).isZero();
        assertThat(result.out()).contains("Usage: cresschute").contains("Example: ");
    }

    @Test
    void printsVersionAsTextAndJson() {
        assertThat(run("version").out()).startsWith("cresschute ").contains(" on Java 17");
        assertThat(Json.object(run("version", "--json").out()).keySet())
                .containsExactly("version", "java");
    }

    @Test
    void completionIsAScriptThatNamesEveryCommand() {
        assertThat(run("completion").out())
                .contains("complete -F")
                .contains("demo")
                .contains("--trouble");
    }

    @Test
    void reportsValidFileAsTextAndJson() {
        assertThat(run("check", SAMPLE))
                .isEqualTo(
                        new CommandResult(0, SAMPLE + ": 3 classes, 4 workers, no errors\n", ""));
        assertThat(run("check", "--show", SAMPLE).out())
                .startsWith("node(\n    name = \"desk-1\",\n");
        final JsonObject json = Json.object(run("check", "--json", "--show", SAMPLE).out());
        assertThat(json.get("valid").getAsBoolean()).isTrue();
        assertThat(json.getAsJsonArray("errors")).isEmpty();
        assertThat(json.get("settings").getAsString()).startsWith("node(");
    }

    @Test
    void reportsErrorsOfAFileAsTextAndJson(@TempDir Path folder) throws IOException {
        final Path file = folder.resolve("bad.star");
        Files.writeString(file, "node(name = \"n\")\nlimits(attemps = 2)\n");
        final CommandResult result = run("check", file.toString());
        assertThat(result.code()).isEqualTo(1);
        assertThat(result.err().lines())
                .contains(
                        file
                                + ":1:1: node: listen is missing; required: an IP address with a"
                                + " port, such as \"127.0.0.1:9000\"",
                        file + ":2:18: limits has no field 'attemps'; did you mean 'attempts'?");
        final CommandResult json = run("check", "--json", file.toString());
        assertThat(json.code()).isEqualTo(1);
        final JsonObject error =
                Json.object(json.out()).getAsJsonArray("errors").get(3).getAsJsonObject();
        assertThat(error.toString())
                .isEqualTo(
                        "{\"line\":2,\"column\":18,\"message\":"
                                + "\"limits has no field 'attemps'; did you mean 'attempts'?\"}");
    }

    @Test
    void reportsMissingFileInOneLine() {
        assertThat(run("check", "none.star"))
                .isEqualTo(
                        new CommandResult(
                                2,
                                "",
                                "cresschute: cannot read none.star: there is no such file\n"));
        assertThat(run("serve", "--settings", "none.star"))
                .isEqualTo(
                        new CommandResult(
                                2,
                                "",
                                "cresschute: cannot read none.star: there is no such file\n"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            textBlock =
                    """
                    -   | -    | -     | true  | 80 | false
                    40  | xterm | -    | true  | 40 | true
                    20  | xterm | -    | true  | 40 | true
                    100 | xterm | 1    | true  | 100 | false
                    100 | xterm | -    | false | 100 | false
                    100 | dumb | -     | true  | 100 | false
                    x   | -    | -     | false | 80 | false
                    """)
    void readsOutputTerminalFromEnvironment(
            String columns,
            String term,
            String noColor,
            boolean terminal,
            int width,
            boolean color) {
        final Map<String, String> environment = new HashMap<>();
        environment.put("COLUMNS", columns == null ? "80" : columns);
        if (term != null) {
            environment.put("TERM", term);
        }
        if (noColor != null) {
            environment.put("NO_COLOR", noColor);
        }
        assertThat(OutputTerminal.of(environment, terminal))
                .isEqualTo(new OutputTerminal(terminal, width, color));
    }
}
