package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The dispatchable workers of one placement, of one of its zones or of one of its cells, and a
 * consistent-hash ring over them. The group of a whole placement also carries the estimate of its
 * capacity. It decides nothing.
 */
final class WorkerGroup {

    /** Which workers of a placement a group holds. */
    enum Scope {
        /** All of them; the only scope with a capacity of its own. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL;

        private static final int COUNT = values().length;

        /** How many groups a worker belongs to for each placement that allows it. */
        static int count() {
            return COUNT;
        }
    }

    /** Points of each member on the ring: enough for even parts, few to keep up. */
    private static final int POINTS_PER_MEMBER = 16;

    private final int groupIndex;

    /** Built at first use: the points of large groups would be megabytes. */
    private TreeMap<Long, WorkerInstance> ring;

    private final List<WorkerInstance> members = new ArrayList<>();
    private final CapacityEstimator capacity;

    /**
     * An empty group.
     *
     * @param groupIndex number of the placement and scope; a worker is in one group of each slot at
     *     most
     */
    WorkerGroup(int groupIndex) {
        this.groupIndex = groupIndex;
        this.capacity =
                groupIndex % Scope.count() == Scope.ALL.ordinal() ? new CapacityEstimator() : null;
    }

    /** Whether this is the group of a whole placement. */
    boolean hasCapacity() {
        return capacity != null;
    }

    /**
     * The capacity of a whole placement's group.
     *
     * @throws IllegalStateException if this is the group of a zone or cell
     */
    CapacityEstimator capacity() {
        if (capacity == null) {
            throw new IllegalStateException(
                    "group of slot " + groupIndex + " has no capacity estimate");
        }
        return capacity;
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    int size() {
        return members.size();
    }

    /** A member by its position, which changes as members leave. */
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

    /** Removes a member; the last one takes its position. */
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
     * The member at or after a point of the ring, with its own point. All dispatchers with the same
     * members have the same ring.
     */
    Map.Entry<Long, WorkerInstance> successor(long point) {
        if (ring == null) {
            ring = new TreeMap<>();
            members.forEach(this::putOnRing);
        }
        final Map.Entry<Long, WorkerInstance> next = ring.ceilingEntry(point);
        return next == null ? ring.firstEntry() : next;
    }

    /** Where a key's search begins; mixed once more than the members' points, to be distinct. */
    static long pointOf(long key) {
        return mix(mix(key));
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
