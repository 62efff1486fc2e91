package cresschute.dispatch;

import java.util.List;

/** What is known of a class. */
final class ClassState {
    final int index;
    final RequestClass stated;
    final List<Pool> budgets;
    final Pool allowed;
    final Pool near;
    double runUs;
    long longestTryUs;
    int samples;

    ClassState(int index, RequestClass stated, Fleet fleet, int zone) {
        this.index = index;
        this.stated = stated;
        this.budgets = fleet.budgets(stated.placement());
        this.allowed = fleet.pool(stated.placement(), Pool.ALL, 0);
        this.near = fleet.pool(stated.placement(), Pool.ZONE, zone);
        this.runUs = 2.0 * stated.aimUs();
    }

    /** Learns a running time; the first samples count in full. */
    void learn(double us, double weight) {
        samples++;
        runUs += Math.max(weight, 1.0 / samples) * (us - runUs);
    }

    /** The latest time since arrival at which an answer still counts, for this running time. */
    double inTimeUs(double us) {
        return stated.aimUs() + stated.aimStretch() * us;
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
