package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * The demand buckets of all classes: for each class and job size, one within and one beyond the
 * quota. It makes no decisions.
 */
final class DemandBuckets {

    /** Number of job sizes that admission distinguishes: 1, 2, 4 and more slots. */
    private static final int SIZES = 4;

    private final List<ClassState> classes = new ArrayList<>();
    private final List<DemandBucket> buckets = new ArrayList<>();

    /** Adds the buckets of the next class. */
    void add(ClassState classState, double overQuotaWeightFactor) {
        classes.add(classState);
        for (int size = 0; size < SIZES; size++) {
            buckets.add(new DemandBucket(classState, 1 << size, 1));
            buckets.add(new DemandBucket(classState, 1 << size, overQuotaWeightFactor));
        }
    }

    /** Number of classes. */
    int classCount() {
        return classes.size();
    }

    /** Shortest time that a job of any class may wait and still be in time, us. */
    double tightestSlackUs() {
        return classes.stream().mapToDouble(ClassState::slackUs).min().orElse(0);
    }

    /**
     * Returns the bucket of a job.
     *
     * @param slots slots that the job takes
     * @param overQuota whether the job is beyond its tenant's quota
     */
    DemandBucket of(int requestClass, double slots, boolean overQuota) {
        final int size =
                (int) Math.max(0, Math.min(SIZES - 1, Math.ceil(Math.log(slots) / Math.log(2))));
        return buckets.get((requestClass * SIZES + size) * 2 + (overQuota ? 1 : 0));
    }

    /**
     * Returns a new array of all buckets, ordered by class, size, and within or beyond the quota.
     */
    DemandBucket[] all() {
        return buckets.toArray(DemandBucket[]::new);
    }
}
