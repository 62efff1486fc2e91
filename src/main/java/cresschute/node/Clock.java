package cresschute.node;

/**
 * The module's clock: Unix time, us, as it was at the start, run on by a clock that never goes
 * back.
 */
@FunctionalInterface
public interface Clock {

    /** Time now, us. */
    long nowUs();

    /** A clock that starts at the system's Unix time, so that discovery's times need no shift. */
    static Clock system() {
        final long startUs = System.currentTimeMillis() * 1000;
        final long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
