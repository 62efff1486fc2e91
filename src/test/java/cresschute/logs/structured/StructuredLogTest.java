package cresschute.logs.structured;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.logs.LogEvent;
import cresschute.logs.RoutedLoggerFinder;
import cresschute.node.Json;
import java.io.ByteArrayOutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Events as text and as JSON. */
class StructuredLogTest {

    private static List<String> written(boolean json, Level minLevel) {
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (StructuredLog log = new StructuredLog(json, minLevel, out)) {
            log.log(
                    "cresschute.test",
                    Level.WARNING,
                    LogEvent.of("odd_peer", "odd {} peer")
                            .with("count", 3)
                            .with("peer", "1.2.3.4:5\n\"x")
                            .with("late", true));
            if (log.isLoggable("cresschute.test", Level.DEBUG)) {
                log.log("cresschute.test", Level.DEBUG, LogEvent.of("detail", "a detail"));
            }
            log.log(
                    "cresschute.test",
                    Level.ERROR,
                    LogEvent.of("broke", "it broke").withCause(new IllegalStateException("why")));
        }
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void jsonLinesHaveEventAndFields() {
        final List<String> lines = written(true, Level.INFO);
        assertThat(lines).hasSize(2);
        final JsonObject first = Json.object(lines.get(0));
        assertThat(first.remove("time").getAsString())
                .matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d.*");
        assertThat(first.toString())
                .isEqualTo(
                        "{\"message\":\"odd {} peer\",\"logger\":\"cresschute.test\","
                                + "\"level\":\"WARN\",\"event\":\"odd_peer\",\"count\":3,"
                                + "\"peer\":\"1.2.3.4:5\\n\\\"x\",\"late\":true}");
        assertThat(Json.object(lines.get(1)).get("trace").getAsString())
                .contains("IllegalStateException: why");
    }

    @Test
    void textLinesHaveTimeLevelLoggerAndMessage() {
        final List<String> lines = written(false, Level.DEBUG);
        assertThat(lines.get(0))
                .matches("\\d{4}-\\d\\d-\\d\\dT\\S+ WARN cresschute.test odd \\{\\} peer");
        assertThat(lines.get(1)).endsWith(" DEBUG cresschute.test a detail");
        assertThat(lines.get(2)).endsWith(" ERROR cresschute.test it broke");
        assertThat(lines.get(3)).contains("IllegalStateException: why");
    }

    /** Loggers that were provided before a sink was set write to it as well. */
    @Test
    void loggersWriteToTheSinkInUse() {
        final Logger logger = System.getLogger("cresschute.test.routed");
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (StructuredLog log = new StructuredLog(true, Level.INFO, out)) {
            RoutedLoggerFinder.setSink(log);
            logger.log(Level.INFO, "plain {0}", 7);
            logger.log(Level.INFO, "with braces {0}");
            logger.log(Level.WARNING, "thrown", new IllegalStateException("x"));
            LogEvent.of("named", "by name").log(logger, Level.INFO);
            LogEvent.of("hidden", "below").log(logger, Level.DEBUG);
        } finally {
            RoutedLoggerFinder.useJdkSink();
        }
        assertThat(
                        out.toString(StandardCharsets.UTF_8)
                                .lines()
                                .map(
                                        line ->
                                                Json.object(line).get("event").getAsString()
                                                        + " "
                                                        + Json.object(line)
                                                                .get("message")
                                                                .getAsString()))
                .containsExactly(
                        "plain plain 7", "plain with braces {0}", "plain thrown", "named by name");
    }
}
