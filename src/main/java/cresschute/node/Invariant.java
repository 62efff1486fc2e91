package cresschute.node;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks what must hold: asserted where assertions are enabled ({@code java -ea}), else counted by
 * name. Owns the counts. Call from the event loop, save where stated.
 */
public final class Invariant {

    private final Map<String, Long> violations = new TreeMap<>();

    /** Written on the event loop alone; read from other threads as well. */
    private volatile long total;

    /**
     * Checks a condition.
     *
     * @param condition what must hold
     * @param name the name under which a breach is counted
     * @return the condition
     */
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the event loop writes it.
    public boolean check(boolean condition, String name) {
        if (!condition) {
            total = total + 1;
            violations.merge(name, 1L, Long::sum);
            assert false : "invariant broken: " + name;
        }
        return condition;
    }

    /** Breaches so far, of all names together. Any thread. */
    public long total() {
        return total;
    }

    /** The violations by name. */
    @Override
    public String toString() {
        return violations.toString();
    }
}
