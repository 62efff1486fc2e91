package cresschute.logs;

/**
 * Provides the loggers of {@link System#getLogger}; the JDK loads it as a service. The loggers
 * write to the current sink, which is {@link JdkLogSink} until another one is set. Thread-safe.
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

    /** The current sink. */
    static LogSink sink() {
        return sink;
    }

    /** Sets the sink of all loggers, including those already created. */
    public static void setSink(LogSink newSink) {
        sink = newSink;
    }

    /** Restores the JDK sink. */
    public static void useJdkSink() {
        sink = JDK_SINK;
    }
}
