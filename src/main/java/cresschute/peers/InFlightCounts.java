package cresschute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * This dispatcher's number of open attempts by worker key, and the keys whose number differs from
 * the one stated last, oldest change first. A number that returns to the stated one is no news any
 * more.
 */
public final class InFlightCounts {

    private final TreeMap<Integer, Integer> counts = new TreeMap<>(Integer::compareUnsigned);
    private final Map<Integer, Integer> stated = new HashMap<>();
    private final Set<Integer> changed = new LinkedHashSet<>();

    /** An attempt at this worker began. */
    public void attemptStarted(int key) {
        counts.merge(key, 1, Integer::sum);
        noteChange(key);
    }

    /** An attempt at this worker ended. */
    public void attemptEnded(int key) {
        counts.computeIfPresent(key, (same, count) -> count == 1 ? null : count - 1);
        noteChange(key);
    }

    private void noteChange(int key) {
        if (count(key) == stated.getOrDefault(key, 0)) {
            changed.remove(key);
        } else {
            changed.add(key);
        }
    }

    /** Open attempts at this worker. */
    public int count(int key) {
        return counts.getOrDefault(key, 0);
    }

    /** Whether some number differs from the one stated last. */
    boolean hasChanges() {
        return !changed.isEmpty();
    }

    /** Keys whose number differs from the one stated last, oldest change first. */
    Iterator<Integer> changes() {
        return List.copyOf(changed).iterator();
    }

    /** The number of this worker goes out in a message. */
    void stated(int key) {
        final int count = count(key);
        if (count == 0) {
            stated.remove(key);
        } else {
            stated.put(key, count);
        }
        changed.remove(key);
    }

    /** Keys with open attempts from this one on, in unsigned order. */
    List<Integer> openFrom(int key) {
        return new ArrayList<>(counts.tailMap(key, true).keySet());
    }
}
