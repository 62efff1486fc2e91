package cresschute.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The page's tables, their insertion into a page, and the classes that they name. */
class CapacityTablesTest {

    private static final Pattern CLASS_NAME = Pattern.compile("`([A-Z][a-z]+(?:[A-Z][a-z]+)*)`");

    private static List<String> cells(String line) {
        return Stream.of(line.split("\\|")).map(String::strip).skip(1).toList();
    }

    @Test
    void marksEveryMeasureAsNotMeasuredWithReason() {
        final Map<String, String> tables = CapacityTables.of(List.of(), List.of());
        assertThat(tables.get("runs")).isEqualTo("No run has been measured yet.\n");
        assertThat(tables.get("held-out")).contains("**not measured**");
        assertThat(tables.get("fault-measurements")).contains("**not measured**");
        assertThat(tables.get("fleet-model"))
                .isEqualTo("No fleet has been played in the model yet.\n");
        for (final Role role : EnumSet.complementOf(EnumSet.of(Role.MODEL))) {
            assertThat(tables.get(role.label() + "-needs").lines().skip(2))
                    .isNotEmpty()
                    .allMatch(line -> line.contains("**not measured**: "));
        }
    }

    @Test
    void comparesCostWithItsLimit() throws CsvFormatException {
        final MeasurementFileBuilder sweep = new MeasurementFileBuilder();
        List.of(100.0, 200.0, 400.0)
                .forEach(
                        size ->
                                sweep.along(
                                        Axis.WORKERS,
                                        size,
                                        "worker",
                                        "control_bytes_per_second",
                                        sizes -> 500 + sizes.get(Axis.WORKERS)));
        final Map<String, String> tables = CapacityTables.of(sweep.measurements(), List.of());
        assertThat(tables.get("worker-needs"))
                .contains("| 1,900 ± 0 (extrapolated) | 4,000 (operators: control) | 0.475 |");
        assertThat(tables.get("worker-slopes"))
                .contains("| workers | 100, 400 | 3 | 500 | 1 (1 to 1) | 1 |", "`abc1234`, 7");
        assertThat(tables.get("runs"))
                .contains("| workers | `abc1234` | 2026-12-02T05:00:00Z | 7 | 3 | 3 |");
    }

    @Test
    void sortsByFallingRatioWithUnmeasuredLast() throws CsvFormatException {
        final MeasurementFileBuilder sweep = new MeasurementFileBuilder();
        List.of(100.0, 200.0, 400.0)
                .forEach(
                        size ->
                                sweep.along(
                                        Axis.WORKERS,
                                        size,
                                        "dispatcher",
                                        "rss_mb",
                                        sizes -> 100 * sizes.get(Axis.WORKERS)));
        final List<String> ratios =
                CapacityTables.of(sweep.measurements(), List.of())
                        .get("worst-ratios")
                        .lines()
                        .skip(2)
                        .map(line -> cells(line).get(0))
                        .toList();
        assertThat(ratios.get(0)).isEqualTo("547");
        final List<Double> figures =
                ratios.stream().filter(ratio -> !ratio.equals("-")).map(Double::valueOf).toList();
        assertThat(figures).isSortedAccordingTo((a, b) -> Double.compare(b, a));
        assertThat(ratios.subList(figures.size(), ratios.size())).isNotEmpty().containsOnly("-");
    }

    /** The cost of a process with 1,000 worker stand-ins is not that of a worker's machine. */
    @Test
    void omitsStandInCostsAndUnknownMeasures() throws CsvFormatException {
        final MeasurementFileBuilder sweep = new MeasurementFileBuilder();
        List.of(100.0, 200.0, 400.0)
                .forEach(
                        size ->
                                sweep.along(
                                                Axis.WORKERS,
                                                size,
                                                "worker",
                                                "cpu_percent",
                                                sizes -> 90)
                                        .along(
                                                Axis.WORKERS,
                                                size,
                                                "dispatcher",
                                                "colour",
                                                sizes -> 1));
        sweep.atFullSize("worker", "cpu_percent", sizes -> 90)
                .atFullSize("dispatcher", "colour", sizes -> 1);
        final Map<String, String> tables = CapacityTables.of(sweep.measurements(), List.of());
        assertThat(tables.get("worker-needs"))
                .contains(
                        "| `cpu_percent` | processor | % of a core | **missing** | **not"
                                + " measured**: ");
        assertThat(tables.get("worker-slopes")).isEqualTo("No slope: **not measured**.\n");
        assertThat(String.join("", tables.values())).doesNotContain("colour");
        assertThat(tables.get("held-out")).contains("**not measured**");
    }

    @Test
    void reportsMedianOfFaultMeasurements() {
        final List<FaultMeasurement> faults =
                Stream.of(5.0, 1.0, 3.0)
                        .map(
                                value ->
                                        new FaultMeasurement(
                                                "d",
                                                "abc1234",
                                                "2026-12-02",
                                                "3",
                                                FaultKind.ZONE_LOSS,
                                                1,
                                                "seconds_until_back",
                                                value,
                                                value == 5))
                        .toList();
        assertThat(CapacityTables.of(List.of(), faults).get("fault-measurements"))
                .contains(
                        "| a zone goes | `seconds_until_back` | 3 | 1 to 5 | 3 (1 partial) |"
                                + " `abc1234`, 3 |");
    }

    @ParameterizedTest
    @CsvSource(
            textBlock =
                    """
                    0, 0
                    1e-15, 0
                    0.0123456, 0.0123
                    12.5, 12.5
                    120, 120
                    999.4, 999
                    999.6, '1,000'
                    1234.4, '1,234'
                    -2.346, -2.35
                    NaN, -
                    """)
    void formatsFiguresWithThreeSignificantDigits(double value, String text) {
        assertThat(Figures.number(value)).isEqualTo(text);
    }

    // ---- Insertion into a page ----

    private static String writeTable(String page) throws MarkerException {
        return CapacityPage.write(page, Map.of("a", "new\nlines\n"));
    }

    @Test
    void replacesTextBetweenMarkers() throws MarkerException {
        final String page = "text\n<!-- table: a -->\nold\n<!-- end table -->\nmore\n";
        final String written = writeTable(page);
        assertThat(written)
                .isEqualTo("text\n<!-- table: a -->\nnew\nlines\n<!-- end table -->\nmore\n");
        assertThat(writeTable(written)).isEqualTo(written);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    no marker                                           | no marker for tables: a
                    <!-- table: a -->;old                               | table a has no end marker
                    <!-- table: a -->;<!-- table: a -->                 | table a has no end marker
                    <!-- table: b -->;<!-- end table -->                | marker names an unknown table: b
                    <!-- end table -->                                  | end marker without a begin marker before it
                    <!-- table: a -->;<!-- end table -->;<!-- table: a -->;<!-- end table --> | table a has two markers
                    """)
    void rejectsMalformedMarkers(String page, String message) {
        assertThatThrownBy(() -> writeTable(page.replace(';', '\n') + "\n"))
                .isInstanceOf(MarkerException.class)
                .hasMessage(message);
    }

    // ---- Classes ----

    private static Set<String> classes() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            final Set<String> names = new HashSet<>();
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".java"))
                    .forEach(
                            name -> names.add(name.substring(0, name.length() - ".java".length())));
            return names;
        }
    }

    /** Every class that the page names as the mechanism of a cost exists. */
    @Test
    void namesOnlyExistingClassesAsMechanisms() throws IOException {
        final Set<String> classes = classes();
        assertThat(
                        Stream.of(TrackedMeasure.values())
                                .map(TrackedMeasure::mechanism)
                                .filter(name -> !name.equals(Mechanism.MISSING)))
                .isNotEmpty()
                .allMatch(classes::contains);
        assertThat(
                        Stream.of(StatedBound.values())
                                .map(StatedBound::mechanism)
                                .filter(name -> !name.equals(Mechanism.MISSING)))
                .isNotEmpty()
                .allMatch(classes::contains);
        final Matcher named = CLASS_NAME.matcher(Files.readString(Path.of("docs/CAPACITY.md")));
        try (Stream<Path> tests = Files.walk(Path.of("src/test/java"))) {
            tests.forEach(file -> classes.add(file.getFileName().toString().replace(".java", "")));
        }
        assertThat(named.results().map(each -> each.group(1)))
                .isNotEmpty()
                .allMatch(classes::contains);
    }
}
