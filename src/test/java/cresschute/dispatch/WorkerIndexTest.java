package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Placements that no class has any more leave no groups behind. */
class WorkerIndexTest {

    private static Placement zone(int zone) {
        return new Placement(List.of(zone), null);
    }

    @Test
    void keepsGroupsOfPresentPlacementsOnly() {
        final int zones = 200;
        final WorkerIndex index = new WorkerIndex(List.of(zone(0)));
        for (int zone = 0; zone < zones; zone++) {
            final Worker entry = new Worker(zone, zone, 0, 0, WorkerState.READY, 1, 0);
            index.add(entry).joinGroups();
        }
        for (int zone = 1; zone < zones; zone++) {
            index.setPlacements(List.of(zone(zone)));
            final WorkerGroup group = index.group(zone(zone), WorkerGroup.Scope.ALL, 0);
            assertThat(group.size()).isEqualTo(1);
            assertThat(group.member(0).id()).isEqualTo(zone);
            // Those of all workers and of the one placement.
            assertThat(index.capacities()).hasSize(2);
        }
        index.setPlacements(List.of(Placement.ANYWHERE));
        assertThat(index.capacities()).hasSize(1);
        assertThat(index.group(Placement.ANYWHERE, WorkerGroup.Scope.ALL, 0).size())
                .isEqualTo(zones);
    }

    /** The capacity of a wider placement that was removed must not limit a class any more. */
    @Test
    void removedPlacementContainsNoOther() {
        final Placement wide = new Placement(List.of(0, 1), null);
        final WorkerIndex index = new WorkerIndex(List.of(wide, zone(0)));
        assertThat(index.capacitiesFor(zone(0))).hasSize(3);
        index.setPlacements(List.of(zone(0)));
        assertThat(index.capacitiesFor(zone(0))).hasSize(2);
    }
}
