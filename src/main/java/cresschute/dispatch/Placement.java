package cresschute.dispatch;

import java.util.List;

/**
 * The workers that a class may be sent to, at every attempt. A null list allows all zones or kinds.
 *
 * @param zones allowed zones, at least one; null for all
 * @param kinds allowed kinds of worker, at least one; null for all
 */
public record Placement(List<Integer> zones, List<Integer> kinds) {

    /** Allows all workers. */
    public static final Placement ANYWHERE = new Placement(null, null);

    /**
     * Checks and sorts the lists.
     *
     * @throws IllegalArgumentException if a list is empty
     */
    public Placement {
        Preconditions.require(zones == null || !zones.isEmpty(), "placement zones");
        Preconditions.require(kinds == null || !kinds.isEmpty(), "placement kinds");
        zones = sorted(zones);
        kinds = sorted(kinds);
    }

    /** Returns whether the class may be sent to this worker. */
    public boolean allows(Worker worker) {
        return (zones == null || zones.contains(worker.zone()))
                && (kinds == null || kinds.contains(worker.kind()));
    }

    /** Returns whether this placement allows every worker that the other one allows. */
    public boolean contains(Placement other) {
        return (zones == null || (other.zones != null && zones.containsAll(other.zones)))
                && (kinds == null || (other.kinds != null && kinds.containsAll(other.kinds)));
    }

    private static List<Integer> sorted(List<Integer> bound) {
        return bound == null ? null : bound.stream().sorted().distinct().toList();
    }

    /** Returns whether all zones and kinds of this placement exist. */
    boolean isWithin(int zoneCount, int kindCount) {
        return (zones == null || (zones.get(0) >= 0 && zones.get(zones.size() - 1) < zoneCount))
                && (kinds == null
                        || (kinds.get(0) >= 0 && kinds.get(kinds.size() - 1) < kindCount));
    }
}
