package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The demand buckets of all classes: for each class and job size, one within and one beyond the
 * quota. It makes no decisions.
 */
final class DemandBuckets {

    /** Number of job sizes that admission distinguishes: 1, 2, 4 and more slots. */
    private static final int SIZES = 4;

    private final List<ClassState> classes = new ArrayList<>();
    private final List<DemandBucket> buckets = new ArrayList<>();
    private Set<Integer> retired = Set.of();

    /** Adds the buckets of the next class. */
    void add(ClassState classState, double overQuotaWeightFactor) {
        classes.add(classState);
        buckets.addAll(bucketsOf(classState, overQuotaWeightFactor));
    }

    /** Replaces the buckets of the class with this one's number. */
    void replace(ClassState classState, double overQuotaWeightFactor) {
        classes.set(classState.index(), classState);
        final List<DemandBucket> next = bucketsOf(classState, overQuotaWeightFactor);
        for (int i = 0; i < next.size(); i++) {
            buckets.set(classState.index() * next.size() + i, next.get(i));
        }
    }

    private static List<DemandBucket> bucketsOf(
            ClassState classState, double overQuotaWeightFactor) {
        final List<DemandBucket> added = new ArrayList<>();
        for (int size = 0; size < SIZES; size++) {
            added.add(new DemandBucket(classState, 1 << size, 1));
            added.add(new DemandBucket(classState, 1 << size, overQuotaWeightFactor));
        }
        return added;
    }

    /** Sets the numbers of the classes that no request has that arrives from now on. */
    void setRetired(Set<Integer> numbers) {
        retired = numbers;
    }

    /** The classes, in the order of their numbers. */
    List<ClassState> classes() {
        return classes;
    }

    /** Number of classes. */
    int classCount() {
        return classes.size();
    }

    /** Shortest time that a job of any class in force may wait and still be in time, us. */
    double tightestSlackUs() {
        return classes.stream()
                .filter(each -> !retired.contains(each.index()))
                .mapToDouble(ClassState::slackUs)
                .min()
                .orElse(0);
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
