package cresschute.dispatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;

/** One run of a worker process. */
final class WorkerInstance {
    /** Weight of one running time in the slowness of a worker. */
    private static final double SLOWNESS_WEIGHT = 0.15;

    final WorkerKind kind;
    List<WorkerGroup> pools;
    List<WorkerGroup> budgets;
    int[] place;
    Worker listed;
    boolean pooled;
    boolean unnamed;
    double ownSlots;
    double ownSlotsAtReport;
    double others;
    long othersAtUs;
    double slowness = 1;
    int failures;
    long[] unresponsiveUntilUs;
    long ejectedUntilUs;
    long stalledUntilUs;
    long lastProgressUs;
    double coldTokens;
    long coldSinceUs;
    final ArrayDeque<PendingRequest> askers = new ArrayDeque<>();

    WorkerInstance(
            Worker listed, WorkerKind kind, List<WorkerGroup> pools, int slots, int classes) {
        this.listed = listed;
        this.kind = kind;
        this.pools = pools;
        this.budgets = pools.stream().filter(WorkerGroup::hasBudget).toList();
        this.place = new int[slots];
        this.unresponsiveUntilUs = new long[classes];
    }

    /** Where it belongs once there are more placements or classes; only while it is in no pool. */
    void regroup(List<WorkerGroup> memberships, int slots, int classes) {
        pools = memberships;
        budgets = memberships.stream().filter(WorkerGroup::hasBudget).toList();
        place = Arrays.copyOf(place, slots);
        unresponsiveUntilUs = Arrays.copyOf(unresponsiveUntilUs, classes);
    }

    /** Whether an entry tells of this run of this machine, whatever its state. */
    boolean isSameRun(Worker entry) {
        return listed.startedAtUs() == entry.startedAtUs()
                && listed.zone() == entry.zone()
                && listed.kind() == entry.kind()
                && listed.cell() == entry.cell();
    }

    /** It told something of a job: it does not stand still. */
    void heard(long nowUs) {
        lastProgressUs = nowUs;
        stalledUntilUs = 0;
    }

    /** Takes in a running time over its class's usual one, of a job whose start was told. */
    void learnRun(double ratio) {
        learnPace(ratio);
        kind.learnRun(ratio);
    }

    /**
     * Takes in how much longer than usual a job took or takes, waiting as it may; tells of its kind
     * too.
     */
    void learnPace(double ratio) {
        slowness += SLOWNESS_WEIGHT * (ratio / kind.slowness - slowness);
        kind.learnSlowness(ratio);
    }

    /**
     * Work that it may be sent while cold, with this part new in each window; below 0: it was sent
     * ahead.
     */
    double coldTokens(long nowUs, double part, long windowUs) {
        coldTokens = Math.min(part, coldTokens + part * (nowUs - coldSinceUs) / windowUs);
        coldSinceUs = nowUs;
        return coldTokens;
    }

    /** Running time here over the usual. */
    double pace() {
        return kind.slowness * slowness;
    }
}
