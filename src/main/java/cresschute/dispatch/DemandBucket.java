package cresschute.dispatch;

/** Requests of one class, size and side of the tenant's share: the unit of the fill. */
final class DemandBucket {
    final ClassState owner;
    final double share;
    double priorityWeight;
    double arrivals;
    double rate;
    final double slots;
    double work;
    double admit = 1;
    double credit = 0.5;

    DemandBucket(ClassState owner, int size, double quotaWeightFactor) {
        this.slots = 1 << size;
        this.owner = owner;
        this.share = quotaWeightFactor;
        this.priorityWeight = owner.stated.priorityWeight() * quotaWeightFactor;
    }

    /** Admits a further part of the cell and takes its work from the budgets. */
    void take(double part) {
        admit += part;
        owner.budgets.forEach(pool -> pool.left -= part * rate * work);
    }
}
