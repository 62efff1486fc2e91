package cresschute.logs;

/**
 * Provides the loggers of {@link System#getLogger}; the JDK finds it as a service. The loggers
 * write to the sink in use, which is {@link JdkLogSink} until another one is set. Thread-safe.
 */
public final class RoutedLoggerFinder extends System.LoggerFinder {

    private static final LogSink JDK_SINK = new JdkLogSink();
    private static volatile LogSink sink = JDK_SINK;

    /** Called by the JDK. */
    public RoutedLoggerFinder() {
        super();
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new RoutedLogger(name);
    }

    /** The sink in use. */
    static LogSink sink() {
        return sink;
    }

    /** Sets the sink, also for loggers that were provided before. */
    public static void setSink(LogSink newSink) {
        sink = newSink;
    }

    /** Sets the JDK's sink again. */
    public static void useJdkSink() {
        sink = JDK_SINK;
    }
}
