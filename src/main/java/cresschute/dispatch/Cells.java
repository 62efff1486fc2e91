package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/** The cells of all classes, by size of job and side of the tenant's share; it decides nothing. */
final class Cells {

    /** Sizes of job told apart in the fill: 1, 2, 4 and more slots. */
    private static final int SIZES = 4;

    final List<ClassState> classes = new ArrayList<>();
    private final List<Cell> all = new ArrayList<>();

    void add(ClassState added, double overShareWorth) {
        classes.add(added);
        for (int size = 0; size < SIZES; size++) {
            all.add(new Cell(added, size, 1));
            all.add(new Cell(added, size, overShareWorth));
        }
    }

    /** The cell of a job that takes so many slots. */
    Cell of(int requestClass, double slots, boolean overShare) {
        final int size = (int) Math.max(0, Math.min(SIZES - 1, Math.ceil(Math.log(slots) / Math.log(2))));
        return all.get((requestClass * SIZES + size) * 2 + (overShare ? 1 : 0));
    }

    Cell[] all() {
        return all.toArray(Cell[]::new);
    }
}
