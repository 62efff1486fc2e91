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
import cresschute.logs.LogEvent;
import cresschute.logs.LogSink;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes events by Logback: lines of text, or JSON objects with the event's name and fields.
 *
 * <p>Life cycle: writes from its creation until {@link #close}. Thread-safe: events are queued and
 * written by a thread of its own, so that a reader that stops reading the log never blocks the
 * node; events that come while the queue is full are lost.
 */
public final class StructuredLog implements LogSink, AutoCloseable {

    private static final int MAX_QUEUED_LINES = 4096;
    private static final int MAX_FLUSH_MS = 1_000;

    private final LoggerContext context = new LoggerContext();

    /**
     * Writes to standard error.
     *
     * @param json whether lines are JSON objects
     * @param level the lowest level that is written
     */
    public StructuredLog(boolean json, Level level) {
        this(json, level, null);
    }

    /** Writes to a stream, or to standard error where it is null. */
    StructuredLog(boolean json, Level level, OutputStream out) {
        context.setName("cresschute");
        // A context that is created here has no MDC adapter, and events fail without one.
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
        async.setQueueSize(MAX_QUEUED_LINES);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.setMaxFlushTime(MAX_FLUSH_MS);
        async.addAppender(appender);
        async.start();
        final Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(ch.qos.logback.classic.Level.convertAnSLF4JLevel(toSlf4j(level)));
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

    private static org.slf4j.event.Level toSlf4j(Level level) {
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
        return level != Level.OFF && context.getLogger(logger).isEnabledForLevel(toSlf4j(level));
    }

    @Override
    public void log(String logger, Level level, LogEvent event) {
        LoggingEventBuilder line =
                context.getLogger(logger)
                        .atLevel(toSlf4j(level))
                        .addKeyValue("event", event.name());
        for (final LogEvent.Field field : event.fields()) {
            line = line.addKeyValue(field.name(), field.value());
        }
        if (event.cause() != null) {
            line = line.setCause(event.cause());
        }
        // Not as a format: a message may contain braces that a peer sent.
        line.log(event.text());
    }

    /** Writes the queued events, for one second at most; nothing is written after that. */
    @Override
    public void close() {
        context.stop();
    }
}
