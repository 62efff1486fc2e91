package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/** The cells of all classes, by size of job and side of the tenant's share; it decides nothing. */
final class DemandBuckets {

    /** Sizes of job told apart in the fill: 1, 2, 4 and more slots. */
    private static final int SIZES = 4;

    final List<ClassState> classes = new ArrayList<>();
    private final List<DemandBucket> all = new ArrayList<>();

    void add(ClassState added, double overQuotaWeightFactor) {
        classes.add(added);
        for (int size = 0; size < SIZES; size++) {
            all.add(new DemandBucket(added, size, 1));
            all.add(new DemandBucket(added, size, overQuotaWeightFactor));
        }
    }

    /** The cell of a job that takes so many slots. */
    DemandBucket of(int requestClass, double slots, boolean overQuota) {
        final int size =
                (int) Math.max(0, Math.min(SIZES - 1, Math.ceil(Math.log(slots) / Math.log(2))));
        return all.get((requestClass * SIZES + size) * 2 + (overQuota ? 1 : 0));
    }

    DemandBucket[] all() {
        return all.toArray(DemandBucket[]::new);
    }
}
