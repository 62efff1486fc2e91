package cresschute.dispatch;

/** Requests of one class, size and side of the tenant's share: the unit of the fill. */
final class Cell {
    final ClassState owner;
    final double share;
    double worth;
    double arrivals;
    double rate;
    final double slots;
    double work;
    double admit = 1;
    double credit = 0.5;

    Cell(ClassState owner, int size, double shareWorth) {
        this.slots = 1 << size;
        this.owner = owner;
        this.share = shareWorth;
        this.worth = owner.stated.worth() * shareWorth;
    }

    /** Admits a further part of the cell and takes its work from the budgets. */
    void take(double part) {
        admit += part;
        owner.budgets.forEach(pool -> pool.left -= part * rate * work);
    }
}
