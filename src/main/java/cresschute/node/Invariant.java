package cresschute.node;

import java.util.Map;
import java.util.TreeMap;

/**
 * What must hold: asserted in debug builds (java -ea), counted in release builds. Used on the loop
 * only.
 */
public final class Invariant {

    private final Map<String, Long> breaches = new TreeMap<>();

    /** Written on the loop alone; read from other threads as well. */
    private volatile long total;

    /** Tells whether it holds; otherwise the breach is counted under this name. */
    public boolean holds(boolean condition, String name) {
        if (!condition) {
            total = total + 1;
            breaches.merge(name, 1L, Long::sum);
            assert false : "invariant broken: " + name;
        }
        return condition;
    }

    /** Breaches so far, all names together. */
    public long total() {
        return total;
    }

    @Override
    public String toString() {
        return breaches.toString();
    }
}
