package cresschute.testbed.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The network between two regions. While it is cut, no connection, response or endpoint list change
 * passes between them. Responses are lost; endpoint list changes are queued and delivered in order
 * when the network is restored.
 */
final class RegionLink {

    private final List<Runnable> heldBack = new ArrayList<>();
    private int firstZoneOfSecondRegion = Integer.MAX_VALUE;

    /** Cuts the network between the zones below {@code firstZone} and the others. */
    void cut(int firstZone) {
        firstZoneOfSecondRegion = firstZone;
    }

    /** Restores the network and delivers the queued endpoint list changes. */
    void restore() {
        firstZoneOfSecondRegion = Integer.MAX_VALUE;
        final List<Runnable> due = List.copyOf(heldBack);
        heldBack.clear();
        due.forEach(Runnable::run);
    }

    boolean connects(int zone, int other) {
        return zone < firstZoneOfSecondRegion == other < firstZoneOfSecondRegion;
    }

    /** Delivers an endpoint list change now, or when the network is restored. */
    void deliver(int toZone, int fromZone, Runnable change) {
        if (connects(toZone, fromZone)) {
            change.run();
        } else {
            heldBack.add(change);
        }
    }
}
