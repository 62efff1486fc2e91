package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ready workers of one placement that share something; all of it together carry a budget of slot-us
 * a us.
 */
final class WorkerGroup {
    static final int ALL = 0;
    static final int ZONE = 1;
    static final int CELL = 2;
    static final int TYPES = 3;

    /** Points of each member on the ring: enough for even parts, few to keep up. */
    private static final int POINTS = 16;

    /**
     * Weight of one report in the busy share of the slots, and in the jobs that wait: queues grow
     * fast.
     */
    private static final double BUSY_WEIGHT = 0.05;

    private static final double BACKLOG_WEIGHT = 0.2;

    /** An empty fleet must not lift a floor without bound. */
    private static final double MIN_BUSY = 0.1;

    private final int slot;

    /**
     * Only where jobs need data: 16 points of each of 1,024 members in each pool would be
     * megabytes.
     */
    private TreeMap<Long, WorkerInstance> ring;

    final List<WorkerInstance> members = new ArrayList<>();
    double budget = Double.POSITIVE_INFINITY;
    double offered;
    double left;
    double endings;
    double badEndings;
    private double finished;
    private double jobs;
    private double jobRate;
    private double reportedInUse;

    /** Jobs that wait for each slot, as reported lately. */
    double backlog;

    private double reportedSlots;
    double finishedRate;

    WorkerGroup(int slot) {
        this.slot = slot;
    }

    void end(double priorityWeight, double bad) {
        endings += priorityWeight;
        badEndings += priorityWeight * bad;
    }

    /**
     * Takes in what finished since the last time; tells how much longer than usual it is
     * remembered.
     */
    double learnFinished(double elapsedUs, double memoryUs, double steadyJobs) {
        jobRate += (1 - Math.exp(-elapsedUs / memoryUs)) * (jobs / elapsedUs - jobRate);
        final double few = Math.max(1, steadyJobs / Math.max(1, jobRate * memoryUs));
        finishedRate +=
                (1 - Math.exp(-elapsedUs / memoryUs / few)) * (finished / elapsedUs - finishedRate);
        finished = 0;
        jobs = 0;
        return few;
    }

    void finish(double work) {
        finished += work;
        jobs++;
    }

    void learnBusy(double inUse, double slots) {
        backlog += BACKLOG_WEIGHT * (Math.max(0, inUse / slots - 1) - backlog);
        reportedInUse += BUSY_WEIGHT * (Math.min(slots, inUse) - reportedInUse);
        reportedSlots += BUSY_WEIGHT * (slots - reportedSlots);
    }

    /** Part of its slots in use as reported lately; all of them where nothing tells. */
    double busyShare() {
        return reportedSlots == 0 ? 1 : Math.max(MIN_BUSY, reportedInUse / reportedSlots);
    }

    boolean hasBudget() {
        return slot % TYPES == ALL;
    }

    void add(WorkerInstance node) {
        node.place[slot] = members.size();
        members.add(node);
        if (ring != null) {
            putOnRing(node);
        }
    }

    private void putOnRing(WorkerInstance node) {
        for (int i = 0; i < POINTS; i++) {
            ring.put(mix((long) node.listed.id() * POINTS + i), node);
        }
    }

    void remove(WorkerInstance node) {
        final WorkerInstance last = members.remove(members.size() - 1);
        if (last != node) {
            members.set(node.place[slot], last);
            last.place[slot] = node.place[slot];
        }
        for (int i = 0; ring != null && i < POINTS; i++) {
            ring.remove(mix((long) node.listed.id() * POINTS + i), node);
        }
    }

    /**
     * The member's point that follows on a ring which all dispatchers with the same members share.
     */
    Map.Entry<Long, WorkerInstance> next(long point) {
        if (ring == null) {
            ring = new TreeMap<>();
            members.forEach(this::putOnRing);
        }
        final Map.Entry<Long, WorkerInstance> next = ring.ceilingEntry(point);
        return next == null ? ring.firstEntry() : next;
    }

    /**
     * Where a key's search begins; mixed once more than the members' points, so that none coincide.
     */
    static long pointOf(long key) {
        return mix(mix(key));
    }

    /**
     * Spreads neighbouring values evenly: the finaliser of SplitMix64 (Steele, Lea and Flood,
     * 2014).
     */
    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
