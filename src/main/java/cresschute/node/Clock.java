package cresschute.node;

/**
 * The dispatcher's clock: Unix time as it was at the start, run on by a clock that never goes back.
 * Any thread.
 */
@FunctionalInterface
public interface Clock {

    /** The time now, microseconds. */
    long nowUs();

    /** A clock that starts at the system's Unix time, so that discovery's times need no shift. */
    static Clock system() {
        final long startUs = System.currentTimeMillis() * 1000;
        final long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
