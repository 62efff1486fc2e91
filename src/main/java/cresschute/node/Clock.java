package cresschute.node;

/**
 * The dispatcher's clock: Unix time at the start plus the time elapsed on a monotonic clock. Any
 * thread.
 */
@FunctionalInterface
public interface Clock {

    /** The time now, microseconds. */
    long nowUs();

    /**
     * Returns a clock that starts at the system's Unix time, so that it can be compared with
     * discovery's times.
     */
    static Clock system() {
        final long startUs = System.currentTimeMillis() * 1000;
        final long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
