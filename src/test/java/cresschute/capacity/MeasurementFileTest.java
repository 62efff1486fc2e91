package cresschute.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of measurement and fault files, and the one-line error for a malformed one. */
class MeasurementFileTest {

    private static final String HEAD =
            MeasurementFile.VERSION_LINE + "\n" + String.join(",", MeasurementFile.COLUMNS) + "\n";
    private static final String ROW =
            "r1,abc1234,2026-12-02,7,workers,2,false,200,500,50,10,3,0,0.02,dispatcher,cpu_percent,12.5,false";

    private static CsvFormatException failure(String text) {
        return catchThrowableOfType(
                CsvFormatException.class, () -> MeasurementFile.parse("a.csv", text));
    }

    @Test
    void parsesAllFieldsOfRow() throws CsvFormatException {
        final List<Measurement> rows = MeasurementFile.parse("a.csv", HEAD + ROW + "\n");
        assertThat(rows).hasSize(1);
        final Measurement row = rows.get(0);
        assertThat(row.run()).isEqualTo("r1");
        assertThat(row.commit()).isEqualTo("abc1234");
        assertThat(row.date()).isEqualTo("2026-12-02");
        assertThat(row.seed()).isEqualTo("7");
        assertThat(row.axis()).isEqualTo(Optional.of(Axis.WORKERS));
        assertThat(row.repetition()).isEqualTo(2);
        assertThat(row.heldOut()).isFalse();
        assertThat(row.sizes().on(Axis.RUNNING)).isEqualTo(500);
        assertThat(row.sizes().on(Axis.SETTINGS_CHANGES)).isEqualTo(0.02);
        assertThat(row.role()).isEqualTo(Role.DISPATCHER);
        assertThat(row.measure()).isEqualTo("cpu_percent");
        assertThat(row.value()).isEqualTo(12.5);
        assertThat(row.partial()).isFalse();
    }

    @Test
    void acceptsFileWithoutRows() throws CsvFormatException {
        assertThat(MeasurementFile.parse("a.csv", HEAD)).isEmpty();
    }

    /** Replaces one field of a row by a malformed one and expects the error for it. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    value             | 12.5       | NaN       | value: 'NaN' is not finite
                    value             | 12.5       | Infinity  | value: 'Infinity' is not finite
                    value             | 12.5       | 12.5x     | value: '12.5x' is not a number
                    value             | 12.5       | ''        | value is empty
                    workers           | 200        | -200      | workers: '-200' is negative
                    running           | 500        | NaN       | running: 'NaN' is not finite
                    settings changes  | 0.02       | -0.02     | settings_changes_per_second: '-0.02' is negative
                    repetition        | ,2,        | ,1.5,     | repetition: '1.5' is not an integer
                    axis              | workers    | jobs      | axis: 'jobs' is unknown
                    full in the fits  | workers    | full      | axis: a run at full size must be held out
                    held out          | 2,false    | 2,maybe   | held_out: 'maybe' is neither true nor false
                    role              | dispatcher | engine    | role: 'engine' is unknown
                    commit            | abc1234    | ''        | commit is empty
                    a field too few   | ,10,       | ,         | 17 fields where 18 are expected
                    """)
    void rejectsMalformedFieldWithItsLine(String name, String from, String to, String message) {
        final CsvFormatException failure =
                failure(HEAD + ROW + "\n" + ROW.replaceFirst(from, to) + "\n");
        assertThat(failure).as(name).hasMessage("a.csv:4: " + message);
        assertThat(failure.file()).isEqualTo("a.csv");
        assertThat(failure.line()).isEqualTo(4);
    }

    @Test
    void acceptsNegativeValue() throws CsvFormatException {
        assertThat(
                        MeasurementFile.parse("a.csv", HEAD + ROW.replace("12.5", "-1") + "\n")
                                .get(0)
                                .value())
                .isEqualTo(-1);
    }

    @Test
    void rejectsOtherVersionOrHeader() {
        assertThat(failure(HEAD.replace("version 1", "version 2") + ROW + "\n"))
                .hasMessage(
                        "a.csv:1: the first line must be '" + MeasurementFile.VERSION_LINE + "'");
        assertThat(failure("")).hasMessageStartingWith("a.csv:1: the first line must be");
        assertThat(failure(MeasurementFile.VERSION_LINE + "\n" + ROW + "\n"))
                .hasMessageStartingWith("a.csv:2: the header must be 'run,commit,");
        assertThat(failure(MeasurementFile.VERSION_LINE + "\n"))
                .hasMessageStartingWith("a.csv:2: ");
    }

    /** A file truncated at any byte is either rejected or yields only complete rows. */
    @Test
    void truncatedFileNeverYieldsAlteredRow() throws CsvFormatException {
        final String file = HEAD + ROW + "\n" + ROW + "\n";
        final List<Measurement> rows = MeasurementFile.parse("a.csv", file);
        for (int length = 0; length < file.length(); length++) {
            final String truncated = file.substring(0, length);
            if (truncated.equals(HEAD) || truncated.equals(HEAD + ROW + "\n")) {
                final List<Measurement> read = MeasurementFile.parse("a.csv", truncated);
                assertThat(read).isEqualTo(rows.subList(0, read.size()));
            } else {
                assertThatThrownBy(() -> MeasurementFile.parse("a.csv", truncated))
                        .as(truncated)
                        .isInstanceOf(CsvFormatException.class)
                        .hasMessageStartingWith("a.csv:");
            }
        }
        assertThat(failure(HEAD + ROW))
                .hasMessage("a.csv:3: the file is truncated: its last line has no line feed");
    }

    @Test
    void parsesFaultFile() throws CsvFormatException {
        final String head =
                FaultFile.VERSION_LINE + "\n" + String.join(",", FaultFile.COLUMNS) + "\n";
        final String text =
                head + "d1,abc1234,2026-12-02,3,zone-loss,1,seconds_until_back,41.5,false\n";
        assertThat(FaultFile.isFaultFile(text)).isTrue();
        assertThat(FaultFile.isFaultFile(HEAD)).isFalse();
        assertThat(FaultFile.parse("f.csv", text))
                .containsExactly(
                        new FaultMeasurement(
                                "d1",
                                "abc1234",
                                "2026-12-02",
                                "3",
                                FaultKind.ZONE_LOSS,
                                1,
                                "seconds_until_back",
                                41.5,
                                false));
        assertThatThrownBy(() -> FaultFile.parse("f.csv", text.replace("zone-loss", "moon-loss")))
                .isInstanceOf(CsvFormatException.class)
                .hasMessage("f.csv:3: fault: 'moon-loss' is unknown");
    }
}
