package cresschute.logs;

/**
 * Gives the loggers of {@link System#getLogger}, which finds it as a service. They write to the
 * JDK's own back end, which costs a small node nothing, until another one is put in its place.
 */
public final class RoutedLoggerFinder extends System.LoggerFinder {

    private static final LogBackend PLAIN = new PlainBackend();
    private static volatile LogBackend backend = PLAIN;

    /** Called by the JDK. */
    public RoutedLoggerFinder() {
        super();
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new RoutedLogger(name);
    }

    static LogBackend backend() {
        return backend;
    }

    /** Puts a back end in place, for loggers that were given out before as well. Any thread. */
    public static void use(LogBackend next) {
        backend = next;
    }

    /** Puts the JDK's own back end in place again. Any thread. */
    public static void usePlain() {
        backend = PLAIN;
    }
}
