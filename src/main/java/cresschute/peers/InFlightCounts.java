package cresschute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * This dispatcher's attempts in flight by worker key, and the keys whose count has changed since it
 * was last advertised, in the order of their changes. A count that returns to its advertised value
 * no longer counts as changed. Not thread-safe: owned by the exchange's thread.
 */
public final class InFlightCounts {

    private final TreeMap<Integer, Integer> counts = new TreeMap<>(Integer::compareUnsigned);
    private final Map<Integer, Integer> advertised = new HashMap<>();
    private final Set<Integer> changed = new LinkedHashSet<>();

    /** An attempt at this worker started. */
    public void attemptStarted(int key) {
        counts.merge(key, 1, Integer::sum);
        updateChanged(key);
    }

    /** An attempt at this worker ended. */
    public void attemptEnded(int key) {
        counts.computeIfPresent(key, (same, count) -> count == 1 ? null : count - 1);
        updateChanged(key);
    }

    private void updateChanged(int key) {
        if (count(key) == advertised.getOrDefault(key, 0)) {
            changed.remove(key);
        } else {
            changed.add(key);
        }
    }

    /** Attempts in flight at this worker. */
    public int count(int key) {
        return counts.getOrDefault(key, 0);
    }

    /** Whether any count differs from its last advertised value. */
    boolean hasChanges() {
        return !changed.isEmpty();
    }

    /** Keys whose count differs from its last advertised value, oldest change first. */
    List<Integer> changedKeys() {
        return List.copyOf(changed);
    }

    /** Records that a message contains the current count of this worker. */
    void markAdvertised(int key) {
        final int count = count(key);
        if (count == 0) {
            advertised.remove(key);
        } else {
            advertised.put(key, count);
        }
        changed.remove(key);
    }

    /** Keys with attempts in flight that are equal to or above the given key, in unsigned order. */
    List<Integer> inFlightKeysFrom(int key) {
        return new ArrayList<>(counts.tailMap(key, true).keySet());
    }
}
