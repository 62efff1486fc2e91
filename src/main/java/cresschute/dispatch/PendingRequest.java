package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/** A request that is owed an answer or has attempts out. */
final class PendingRequest {
    final int id;
    final ClassState owner;
    final double priorityWeight;
    final double slots;
    final double hintUs;
    final long dataKey;
    final long arrivedUs;
    final long deadlineUs;

    /** Attempts that the settings allowed at its arrival. */
    final int maxAttempts;

    /** Whether they allowed a hedged request. */
    final boolean mayHedge;

    final List<Attempt> out = new ArrayList<>(1);
    int sent;
    WorkerInstance last;
    WorkerInstance home;
    final List<WorkerInstance> asked = new ArrayList<>(2);

    /**
     * The best of those that answered a probe, and how often some were asked, since the last send.
     */
    WorkerInstance answered;

    int rounds;

    /** When workers may be asked anew whether one has room for a copy. */
    long nextHedgeQueryUs;

    boolean closed;
    boolean mayHaveRun;
    long repeatUntilUs;
    WorkerGroup bound;

    PendingRequest(
            int id,
            ClassState owner,
            double priorityWeight,
            double slots,
            double hintUs,
            long dataKey,
            long arrivedUs,
            long deadlineUs,
            AttemptLimits limits) {
        this.id = id;
        this.owner = owner;
        this.priorityWeight = priorityWeight;
        this.slots = slots;
        this.hintUs = hintUs;
        this.dataKey = dataKey;
        this.arrivedUs = arrivedUs;
        this.deadlineUs = deadlineUs;
        this.maxAttempts = Math.min(limits.maxAttempts(), owner.stated.maxAttempts());
        this.mayHedge = limits.allowsHedging();
    }

    /** Expected running time at the usual pace: what the host was told, or that of its class. */
    double runUs() {
        return hintUs > 0 ? hintUs : owner.runUs;
    }

    /**
     * The latest time since arrival at which an answer still counts, as far as its running time is
     * known.
     */
    double inTimeUs() {
        return owner.inTimeUs(runUs());
    }

    double work() {
        return slots * runUs();
    }

    /**
     * Work that it may well turn out to have: the estimate and its error, large where few jobs were
     * seen.
     */
    double cautiousWork() {
        return work() * (hintUs > 0 || owner.samples == 0 ? 1 : 1 + 1 / Math.sqrt(owner.samples));
    }

    /**
     * Starts to wait for the answers of these to a probe, and for no others; the best so far is
     * kept.
     */
    void ask(List<WorkerInstance> nodes) {
        rounds++;
        asked.clear();
        asked.addAll(nodes);
        nodes.forEach(node -> node.askers.add(this));
    }

    /** Waits for no answers any more, and forgets those that came. */
    void settle() {
        rounds = 0;
        asked.clear();
        answered = null;
    }

    Attempt find(int number) {
        for (final Attempt attempt : out) {
            if (attempt.number == number) {
                return attempt;
            }
        }
        return null;
    }
}
