package cresschute.logs.structured;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import cresschute.logs.LogBackend;
import cresschute.logs.LogEvent;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The structured back end, on Logback: lines of text, or JSON objects with the event's name and
 * fields. Lines are written by a thread of its own, so that a reader that stops reading the log
 * never stops the node; lines that find no room then are lost.
 */
public final class StructuredLog implements LogBackend, AutoCloseable {

    private static final int MOST_WAITING = 4096;
    private static final int FLUSH_MS = 1_000;

    private final LoggerContext context = new LoggerContext();

    /**
     * Writes to standard error.
     *
     * @param json whether lines are JSON objects
     * @param level the least that is written
     */
    public StructuredLog(boolean json, Level level) {
        this(json, level, null);
    }

    /** Writes to a stream, or to standard error where it is null. */
    StructuredLog(boolean json, Level level, OutputStream out) {
        context.setName("cresschute");
        // Guards against losing every line: a context of its own has none, and each line asks for
        // it.
        context.setMDCAdapter(new LogbackMDCAdapter());
        final Encoder<ILoggingEvent> encoder = json ? json() : text();
        encoder.setContext(context);
        encoder.start();
        final OutputStreamAppender<ILoggingEvent> appender;
        if (out == null) {
            final ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
            console.setTarget("System.err");
            appender = console;
        } else {
            appender = new OutputStreamAppender<>();
        }
        appender.setContext(context);
        appender.setEncoder(encoder);
        if (out != null) {
            appender.setOutputStream(out);
        }
        appender.start();
        final AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(MOST_WAITING);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.setMaxFlushTime(FLUSH_MS);
        async.addAppender(appender);
        async.start();
        final Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(ch.qos.logback.classic.Level.convertAnSLF4JLevel(slf4j(level)));
        root.addAppender(async);
        context.start();
    }

    private static Encoder<ILoggingEvent> text() {
        final PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setCharset(StandardCharsets.UTF_8);
        encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %level %logger %msg%n");
        return encoder;
    }

    private static Encoder<ILoggingEvent> json() {
        final LogstashEncoder encoder = new LogstashEncoder();
        encoder.getFieldNames().setTimestamp("time");
        encoder.getFieldNames().setLogger("logger");
        encoder.getFieldNames().setStackTrace("trace");
        encoder.getFieldNames().setVersion(null);
        encoder.getFieldNames().setLevelValue(null);
        encoder.getFieldNames().setThread(null);
        return encoder;
    }

    private static org.slf4j.event.Level slf4j(Level level) {
        return switch (level) {
            case ALL, TRACE -> org.slf4j.event.Level.TRACE;
            case DEBUG -> org.slf4j.event.Level.DEBUG;
            case INFO -> org.slf4j.event.Level.INFO;
            case WARNING -> org.slf4j.event.Level.WARN;
            case ERROR, OFF -> org.slf4j.event.Level.ERROR;
        };
    }

    @Override
    public boolean isLoggable(String logger, Level level) {
        return level != Level.OFF && context.getLogger(logger).isEnabledForLevel(slf4j(level));
    }

    @Override
    public void log(String logger, Level level, LogEvent event) {
        LoggingEventBuilder line =
                context.getLogger(logger).atLevel(slf4j(level)).addKeyValue("event", event.name());
        for (final LogEvent.Field field : event.fields()) {
            line = line.addKeyValue(field.name(), field.value());
        }
        if (event.thrown() != null) {
            line = line.setCause(event.thrown());
        }
        // Not as a format: a text of a peer's may hold what looks like a place for a value.
        line.log(event.text());
    }

    /** Writes what waits, for a second at the most; nothing is written after that. */
    @Override
    public void close() {
        context.stop();
    }
}
