package cresschute.dispatch;

import java.util.List;

/** What is known of a class. */
final class ClassState {
    final int index;
    final RequestClass stated;
    final List<WorkerGroup> budgets;
    final WorkerGroup allowed;
    final WorkerGroup near;
    double runUs;
    long longestTryUs;
    int samples;

    ClassState(int index, RequestClass stated, WorkerIndex fleet, int zone) {
        this.index = index;
        this.stated = stated;
        this.budgets = fleet.budgets(stated.placement());
        this.allowed = fleet.pool(stated.placement(), WorkerGroup.ALL, 0);
        this.near = fleet.pool(stated.placement(), WorkerGroup.ZONE, zone);
        this.runUs = 2.0 * stated.latencyObjectiveUs();
    }

    /** Learns a running time; the first samples count in full. */
    void learn(double us, double weight) {
        samples++;
        runUs += Math.max(weight, 1.0 / samples) * (us - runUs);
    }

    /** The latest time since arrival at which an answer still counts, for this running time. */
    double inTimeUs(double us) {
        return stated.latencyObjectiveUs() + stated.latencyObjectiveStretch() * us;
    }

    /** Time that a job may spend waiting and still be in time. */
    double mayWaitUs() {
        return Math.max(1, inTimeUs(runUs) - runUs);
    }

    /** Work that fits into all its budgets. */
    double room() {
        return Math.max(0, budgets.stream().mapToDouble(pool -> pool.left).min().orElse(0));
    }
}
