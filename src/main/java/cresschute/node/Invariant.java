package cresschute.node;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks invariants. A violation is counted by name and, if assertions are enabled ({@code java
 * -ea}), fails an assertion. Owns the counts. Call from the event loop, except where stated.
 */
public final class Invariant {

    private final Map<String, Long> violations = new TreeMap<>();

    /** Written on the event loop alone; read from other threads as well. */
    private volatile long total;

    /**
     * Checks a condition.
     *
     * @param condition the condition that must hold
     * @param name the name under which a violation is counted
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

    /** The number of violations so far, of all names together. Any thread. */
    public long total() {
        return total;
    }

    /** The numbers of violations by name. */
    @Override
    public String toString() {
        return violations.toString();
    }
}
