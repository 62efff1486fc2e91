package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The dispatchable workers of one placement, of one of its zones or of one of its cells, with a
 * consistent-hash ring over them. The group of a whole placement also holds the estimate of its
 * capacity. It makes no decisions.
 */
final class WorkerGroup {

    /** The workers of a placement that a group holds. */
    enum Scope {
        /** All of them; the only scope with a capacity estimate. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL;

        private static final int COUNT = values().length;

        /** Number of groups that a worker belongs to for each placement that allows it. */
        static int count() {
            return COUNT;
        }
    }

    /**
     * Points of each member on the ring: enough for an even distribution, and few enough to update
     * cheaply.
     */
    private static final int POINTS_PER_MEMBER = 16;

    private final int groupIndex;

    /** Null until first use, because the points of large groups take megabytes. */
    private TreeMap<Long, WorkerInstance> ring;

    private final List<WorkerInstance> members = new ArrayList<>();
    private final CapacityEstimator capacity;

    /**
     * Creates an empty group.
     *
     * @param groupIndex number of the placement and scope; a worker is in at most one group of each
     *     index
     */
    WorkerGroup(int groupIndex) {
        this.groupIndex = groupIndex;
        this.capacity =
                groupIndex % Scope.count() == Scope.ALL.ordinal() ? new CapacityEstimator() : null;
    }

    /** The number of its placement, from which its group index was made. */
    int placementNumber() {
        return groupIndex / Scope.count();
    }

    /** Returns whether this is the group of a whole placement, which has a capacity estimate. */
    boolean hasCapacity() {
        return capacity != null;
    }

    /**
     * Returns the capacity estimate of a whole placement's group.
     *
     * @throws IllegalStateException if this is the group of a zone or cell
     */
    CapacityEstimator capacity() {
        if (capacity == null) {
            throw new IllegalStateException(
                    "group " + groupIndex + " is a zone or cell and has no capacity estimate");
        }
        return capacity;
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    int size() {
        return members.size();
    }

    /** Returns the member at a position. Positions change when members leave. */
    WorkerInstance member(int position) {
        return members.get(position);
    }

    void add(WorkerInstance worker) {
        worker.setPosition(groupIndex, members.size());
        members.add(worker);
        if (ring != null) {
            putOnRing(worker);
        }
    }

    private void putOnRing(WorkerInstance worker) {
        for (int i = 0; i < POINTS_PER_MEMBER; i++) {
            ring.put(mix((long) worker.id() * POINTS_PER_MEMBER + i), worker);
        }
    }

    /** Removes a member. The last member takes its position. */
    void remove(WorkerInstance worker) {
        final WorkerInstance last = members.remove(members.size() - 1);
        if (last != worker) {
            members.set(worker.position(groupIndex), last);
            last.setPosition(groupIndex, worker.position(groupIndex));
        }
        for (int i = 0; ring != null && i < POINTS_PER_MEMBER; i++) {
            ring.remove(mix((long) worker.id() * POINTS_PER_MEMBER + i), worker);
        }
    }

    /**
     * Returns the first member at or after a point of the ring, with its point. All dispatchers
     * with the same members have the same ring.
     */
    Map.Entry<Long, WorkerInstance> successor(long point) {
        if (ring == null) {
            ring = new TreeMap<>();
            members.forEach(this::putOnRing);
        }
        final Map.Entry<Long, WorkerInstance> next = ring.ceilingEntry(point);
        return next == null ? ring.firstEntry() : next;
    }

    /**
     * Returns the point at which the search for a key starts. It is mixed once more than the
     * members' points, so that it is distinct from them.
     */
    static long pointOf(long key) {
        return mix(mix(key));
    }

    /** Finaliser of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
