package cresschute.testbed.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The network between two regions, up or cut. While it is cut no connection, answer or notice
 * passes from one region to the other; answers are lost, changes of the worker list come once it is
 * up again, in order.
 */
final class RegionLink {

    private final List<Runnable> heldBack = new ArrayList<>();
    private int firstZoneOfSecondRegion = Integer.MAX_VALUE;

    /** Cuts the network between the zones below this one and the others. */
    void cut(int firstZone) {
        firstZoneOfSecondRegion = firstZone;
    }

    /** Joins the regions again and delivers the changes of the list that were held back. */
    void restore() {
        firstZoneOfSecondRegion = Integer.MAX_VALUE;
        final List<Runnable> due = List.copyOf(heldBack);
        heldBack.clear();
        due.forEach(Runnable::run);
    }

    boolean connects(int zone, int other) {
        return zone < firstZoneOfSecondRegion == other < firstZoneOfSecondRegion;
    }

    /** Delivers a change of the list now, or once the regions are joined again. */
    void deliver(int toZone, int fromZone, Runnable change) {
        if (connects(toZone, fromZone)) {
            change.run();
        } else {
            heldBack.add(change);
        }
    }
}
