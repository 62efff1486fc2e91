package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AdmissionFillTest {

    private static final Placement ONE_KIND = new Placement(null, List.of(0));

    private final WorkerIndex fleet = new WorkerIndex(List.of(ONE_KIND));
    private final CapacityEstimator all =
            fleet.group(Placement.ANYWHERE, WorkerGroup.Scope.ALL, 0).capacity();
    private final CapacityEstimator kind =
            fleet.group(ONE_KIND, WorkerGroup.Scope.ALL, 0).capacity();

    /** Leaves so much of a capacity to the fill; a new one is 0. */
    private static void allocatable(CapacityEstimator capacity, double slots) {
        capacity.allocate(capacity.unallocated() - slots);
    }

    private DemandBucket cell(
            double priorityWeight, double rate, double work, Placement placement) {
        final DemandBucket cell =
                new DemandBucket(
                        new ClassState(
                                0,
                                new RequestClass(
                                        priorityWeight,
                                        1,
                                        1,
                                        1,
                                        Idempotency.SAFE,
                                        DeduplicationScope.ALL,
                                        0,
                                        placement),
                                fleet,
                                0),
                        1,
                        1);
        cell.demand(rate, work);
        return cell;
    }

    @Test
    void fillsByPriorityWeightPerWorkAboveTheFloors() {
        final DemandBucket rich = cell(10, 1, 1, Placement.ANYWHERE);
        final DemandBucket poor = cell(1, 1, 1, Placement.ANYWHERE);
        final DemandBucket large = cell(10, 1, 20, Placement.ANYWHERE);
        allocatable(all, 1.5 + AdmissionController.FLOOR * 20);
        AdmissionController.fill(new DemandBucket[] {large, poor, rich}, 1);
        assertThat(rich.admitProbability()).isCloseTo(1, within(1e-9));
        assertThat(poor.admitProbability()).isCloseTo(0.5, within(1e-9));
        assertThat(large.admitProbability()).isCloseTo(AdmissionController.FLOOR, within(1e-9));
    }

    @Test
    void aKindsOwnBudgetBindsItsClassesOnly() {
        final DemandBucket bound = cell(10, 1, 1, ONE_KIND);
        final DemandBucket free = cell(1, 1, 1, Placement.ANYWHERE);
        allocatable(all, 100);
        allocatable(kind, 0.25);
        AdmissionController.fill(new DemandBucket[] {bound, free}, 1);
        assertThat(bound.admitProbability()).isCloseTo(0.25, within(1e-9));
        assertThat(free.admitProbability()).isCloseTo(1, within(1e-9));
    }

    @Test
    void anOpenBudgetAdmitsEverything() {
        final DemandBucket cell = cell(1, 50, 3, Placement.ANYWHERE);
        allocatable(all, Double.POSITIVE_INFINITY);
        AdmissionController.fill(new DemandBucket[] {cell}, 1);
        assertThat(cell.admitProbability()).isEqualTo(1);
    }

    @Property(seed = "23", tries = 300)
    void floorsHoldTheBudgetHoldsAboveThemAndOrderIsByPriorityWeight(
            @ForAll @Size(6) List<@DoubleRange(min = 0.1, max = 20) Double> worths,
            @ForAll @Size(6) List<@DoubleRange(min = 0, max = 50) Double> rates,
            @ForAll @Size(6) List<@DoubleRange(min = 0.01, max = 10) Double> works,
            @ForAll @DoubleRange(min = 0, max = 500) double budget) {
        final DemandBucket[] cells = new DemandBucket[6];
        double floorWork = 0;
        for (int i = 0; i < cells.length; i++) {
            cells[i] = cell(worths.get(i), rates.get(i), works.get(i), Placement.ANYWHERE);
            floorWork += AdmissionController.FLOOR * rates.get(i) * works.get(i);
        }
        allocatable(all, budget);
        AdmissionController.fill(cells, 1);
        double admittedWork = 0;
        for (int i = 0; i < cells.length; i++) {
            assertThat(cells[i].admitProbability())
                    .isBetween(AdmissionController.FLOOR - 1e-9, 1 + 1e-9);
            admittedWork += cells[i].admitProbability() * cells[i].rate() * cells[i].work();
            if (i > 0
                    && cells[i].rate() > 0
                    && cells[i].admitProbability() > AdmissionController.FLOOR + 1e-9) {
                assertThat(cells[i - 1].admitProbability()).isCloseTo(1, within(1e-9));
            }
        }
        assertThat(admittedWork).isLessThanOrEqualTo(Math.max(budget, floorWork) + 1e-6);
    }
}
