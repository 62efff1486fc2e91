package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonParseException;
import cresschute.dispatch.LoadReport;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ParsersTest {

    @ParameterizedTest
    @CsvSource({
        "480m, 480000",
        "480u, 480",
        "' 7m ', 7000",
        "0.5m, 500",
        "0m, 0",
        "999999999999m, 3600000000",
        "480, -1",
        "m, -1",
        "-4m, -1",
        "4s, -1",
        "4 m, -1",
        "'', -1",
        "1e3m, -1",
        "9999999999999m, -1"
    })
    void parsesDeadlineHeader(String text, long us) {
        assertThat(DeadlineHeader.parseUs(text)).isEqualTo(us);
    }

    @ParameterizedTest
    @CsvSource({"2000000, 2", "1500000, 1.500", "1, 0.001", "1000001, 1.001", "20000, 0.020"})
    void formatsRetryAfterHeader(long us, String text) {
        assertThat(RetryAfterHeader.format(us)).isEqualTo(text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    inflight=7,queue=2,x0=3 | 3 | 7 | 2
                    x0=0                    | 0 | -1 | -1
                    queue=2 , inflight=1.5  | -1 | 1.5 | 2
                    {"x0":0,"backlog":5.02} | 0 | -1 | 5.02
                    {}                      | -1 | -1 | -1
                    """)
    void parsesLoadReportInBothForms(
            String text, double freeSlots, double outstanding, double waiting) {
        assertThat(LoadReportParser.parseBody(text))
                .isEqualTo(new LoadReport(freeSlots, outstanding, waiting));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x0", "x0=", "x0=a", "{\"x0\":\"3\"}", "{", "x0=1,,queue=2"})
    void rejectsMalformedLoadReport(String text) {
        assertThatThrownBy(() -> LoadReportParser.parseBody(text))
                .isInstanceOf(JsonParseException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "{\"id\":\"r2\",\"state\":\"started\"}",
                "{\"id\":\"r1\",\"state\":7}",
                "{\"id\":\"r1\",\"state\":\"done\"}",
                "{\"id\":\"r1\",\"state\":\"running\",\"share\":2}",
                "{\"id\":\"r1\",\"state\":\"started\"} {}",
                "{id:'r1'}"
            })
    void rejectsMalformedProgressLine(String text) {
        assertThatThrownBy(() -> ProgressLine.parse(text, "r1"))
                .isInstanceOf(JsonParseException.class);
    }

    private final MemoryQuota lineMemory = new MemoryQuota(2 * ProgressLineReader.MAX_BYTES);

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 100})
    void splitsLinesWhereverChunksEnd(int size) {
        final String text = "one\n\n  two\u00e9\r\n" + "long".repeat(400) + "\nrest";
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        final ProgressLineReader lines = new ProgressLineReader(lineMemory);
        final List<String> cut = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += size) {
            final int count = Math.min(size, bytes.length - at);
            assertThat(lines.add(Unpooled.wrappedBuffer(bytes, at, count))).isTrue();
            for (String line = lines.nextLine(); line != null; line = lines.nextLine()) {
                cut.add(line);
            }
        }
        assertThat(cut).containsExactly("one", "two\u00e9", "long".repeat(400));
        assertThat(lines.takeLastLine()).isEqualTo("rest");
    }

    @Test
    void rejectsLineOverLimit() {
        assertThat(
                        new ProgressLineReader(lineMemory)
                                .add(
                                        Unpooled.wrappedBuffer(
                                                new byte[ProgressLineReader.MAX_BYTES + 1])))
                .isFalse();
    }

    /** A worker may send a line that never ends, on many connections at a time. */
    @Test
    void rejectsLineWithoutMemoryAndReleasesItWhenClosed() {
        final int line = 8 * 1024;
        final MemoryQuota memory = new MemoryQuota(line);
        final ProgressLineReader first = new ProgressLineReader(memory);
        final ProgressLineReader second = new ProgressLineReader(memory);
        assertThat(first.add(Unpooled.wrappedBuffer(new byte[line]))).isTrue();
        assertThat(second.add(Unpooled.wrappedBuffer(new byte[line]))).isFalse();
        first.close();
        first.close();
        assertThat(memory.reservedBytes()).isZero();
        assertThat(second.add(Unpooled.wrappedBuffer(new byte[line]))).isTrue();
    }
}
